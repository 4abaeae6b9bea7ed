#!/usr/bin/env bash
# Runs one named proof for each promise and prints whether it holds. Exits non-zero on a red one that KNOWN-RED.txt
# does not list.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
# Tests that are known to be red are left out of the proofs; tools/test.sh runs them and says so.
known=^$
if [ -f KNOWN-RED.txt ]; then
  known="^($(sed -n 's/^test: [^ ]* \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|'))\$"
fi

promise() { # promise NAME PACKAGES TESTS
  local name=$1 packages=$2 tests=$3 out
  # shellcheck disable=SC2086
  if out=$(go test -count=1 -v -run "$tests" -skip "$known" $packages 2>&1) && grep -q -e '--- PASS' <<<"$out"; then
    echo "promise: $name: holds"
    return
  fi
  echo "promise: $name: red"
  if [ -f KNOWN-RED.txt ] && grep -q "^promise: $name" KNOWN-RED.txt; then
    return
  fi
  grep -v -e '^=== ' <<<"$out" | tail -n 20 >&2
  failed=1
}

serve=./internal/radishserve
promise "no stage result is lost, doubled or given to another request" "$serve ./internal/radishtarget" '^(TestPromisesUnderFaults|TestClientClassifiesResponses)$'
promise "a cold target gets no more work than it bears" "$serve ./pkg/radishlease" '^(TestWarmTargetTurnsCold|TestStewardLeavesUnderLoad|TestFrozenSteward|TestColdTargetsInPlatformOutage|TestOneHolderUnderFaults)$'
promise "a data centre taken out gets no new work" "$serve" '^(TestDrainedDataCentreGetsNoNewWork|TestDrainByEachRoute|TestDataCentreReturns)$'
promise "a caller gets the whole answer to its own request" "$serve ./internal/radishtarget" '^(TestAnswersAreWholeAndOwn|TestClientClassifiesResponses)$'
promise "a refusal that says not run is true" "$serve ./pkg/radishclaim" '^(TestNotRunIsTrue|TestPromisesUnderFaults|TestAtMostOnceUnderFaults|TestLateUpdateOfRefusedClaim)$'
promise "a non-idempotent request runs at most once" "./pkg/radishclaim $serve ./e2e" '^(TestAtMostOnceUnderFaults|TestAtMostOnceFailsWithoutCondition|TestFrozenClaimAfterSweep.*|TestRetryGetsTheRecordedAnswer|TestKilledEntryRunsNoBookingTwice|TestFrozenEntry)$'
promise "a leaving target gets no new work" "$serve" '^TestDrainByEachRoute$'
promise "a graceful shutdown cuts no request" "$serve ./e2e" '^(TestGracefulStopCutsNothing|TestLeavingRecordsTheLastOutcome|TestTerminatedEntryAnswersAcceptedRequests)$'
promise "an accepted configuration is in force everywhere and never reverts" "$serve ./pkg/radishconfig" '^(TestConfigurationIsInForceWithinSeconds|TestNewVMLearnsFromPeers|TestConfigurationUnderFaults)$'
adapter=./platform/radishadapter
site=./internal/radishsite
promise "platform: a send is one send, and a refusal that says not run is true" "$adapter ./internal/radishrelay" '^(TestEachSendIsOne|TestRepeats|TestSendNotSentWhenNothingListens)$'
promise "platform: an answer is whole and the call's own" "$adapter ./internal/radishrelay" '^(TestSendTellsAnswersApart|TestAbortedAnswerIsNotWhole|TestCutStreamDoesNotLookWhole|TestStreamGoesOnElsewhere)$'
promise "platform: repeats stay in the budget" "./internal/radishrelay" '^TestRepeatsStayInTheBudget$'
promise "platform: changes are in force in time and never go back" "$site ./internal/radishsync ./pkg/radishmirror" '^(TestConfigurationReachesVMsWithoutStore|TestConfigurationVersionNeverDecreases|TestCheckerHearsWhatASilentWatchMisses|TestLostHistoryIsListedAgain|TestOlderRecordsAreNoNews|TestReplayLargeConfigurationOverSlowLinks|TestPeerThatNeverKnewARecord|TestOldStatesTellNothingNew)$'
promise "platform: leaving and evacuated targets get nothing" "./pkg/radishfleet $site ./e2e" '^(TestLeavingAndEvacuatedTargetsGetNothing|TestTargetsFollowTheirRecords|TestEvacuationIsRevoked|TestSiteFollowsChanges)$'
promise "platform: records that lapsed in an outage are kept for two seconds" "$site" '^TestTargetsExpiredInOutageAreKept$'
promise "platform: cold targets get no more than they bear" "./pkg/radishfleet" '^TestReplayColdReturn$'
promise "platform: a call that leaves takes its work along" "./internal/radishrelay ./internal/radishstage" '^(TestCallerThatLeavesIsNotSentElsewhere|TestCancelledRequestDropsItsPieces)$'
promise "platform: what cannot be served is refused at once" "./internal/radishstage ./internal/radishrelay ./pkg/radishbatch" '^(TestReplayTightBesideLoose|TestOverloadIsRefusedAtOnce|TestFullStagesAreToldWithATime|TestTimeoutOfTheRoute)$'
promise "platform: a data centre that is cut off and mute targets are left" "./pkg/radishfleet ./internal/radishrelay" '^(TestReplayCutDataCentre|TestProbeThatIsGoneIsReplaced|TestGivenUpCallsSayNothing|TestMuteTargetIsLeft)$'
promise "platform: VMs agree on who coordinates, and leave one that stands still" "$site ./internal/radishstage ./pkg/radishpeer" '^(TestReplayAllLinksReset|TestReplayAllVMsStart|TestReplayTerminatedVMIsReplaced|TestReplayOneConnectionPerPair|TestPlanFailsOverFromFrozenCoordinator|TestFrozenPeerIsNotLinked|TestPlanIsRetriedAtSameCoordinatorAfterLinkReset)$'
promise "platform: stopping cuts no call" "./e2e ./internal/radishrelay ./internal/radishstage" '^(TestLastVMCoordinatesWhileLeaving|TestSiteCompletesCallsDuringShutdown|TestEndingVMRefusesWhatIsInStages)$'
promise "platform: an outage of the store is outlived" "./e2e ./internal/radishsync $site" '^(TestSiteServesDuringStoreOutage|TestOutageIsOutlived|TestVMStartedInOutageSyncsFromSeed)$'
promise "platform: bad input is refused and loses nothing" "$adapter ./e2e" '^(TestFrontRefusesBadInput|TestRecordsOfOthersNameNoTarget|TestParseSiteReportsAllFaults|TestSiteReloadsItsSettings)$'
exit "$failed"
