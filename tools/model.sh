#!/usr/bin/env bash
# Checks the Promela models under spec/ exhaustively with spin. A mutant is a model without one of its guards; the script
# also checks that spin finds an error in each mutant, which shows that the guard is necessary and that the model tests it.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  echo "model: NOT RUN: spin and gcc are needed (Debian's packages spin and gcc)" >&2
  exit 1
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

check() { # check MODEL [MUTANT]; prints the number of errors, of states, and of signs of an incomplete search
  local model=$1 mutant=${2:-}
  mkdir -p "$work/$model$mutant"
  cp "spec/$model.pml" "$work/$model$mutant/"
  (
    cd "$work/$model$mutant"
    spin ${mutant:+-D$mutant} -a "$model.pml" >spin.log || { cat spin.log >&2; exit 1; }
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c 2>gcc.log
    ./pan -m1000000 >pan.log
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
    states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' pan.log)
    incomplete=$(grep -c -E 'Search not completed|max search depth too small|out of memory' pan.log || true)
    echo "$errors $states $incomplete"
  )
}

for model in claim steward config mirror coordinate incumbent leaving; do
  read -r errors states incomplete < <(check "$model")
  if [ "$errors" = 0 ] && [ "$incomplete" = 0 ]; then
    echo "model: $model holds in all $states states"
  else
    echo "model: $model FAILS: errors $errors, incomplete $incomplete, states $states"
    failed=1
  fi
  for mutant in $(sed -n 's/^#ifn\{0,1\}def \(MUTANT_[A-Z_]*\)$/\1/p' "spec/$model.pml" | sort -u); do
    read -r errors states _ < <(check "$model" "$mutant")
    if [ "$errors" != 0 ]; then
      echo "model: $model without its guard ($mutant) fails, as it should"
    else
      echo "model: $model without its guard ($mutant) is NOT FOUND to fail in $states states"
      failed=1
    fi
  done
done
exit "$failed"
