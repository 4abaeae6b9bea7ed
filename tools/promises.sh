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
promise "a cold target gets no more work than it bears" "$serve ./pkg/radishlease" '^(TestWarmTargetTurnsColdUnderLoad|TestStewardLeavesUnderLoad|TestFrozenSteward|TestColdTargetsInPlatformOutage|TestOneHolderUnderFaults)$'
promise "a data centre taken out gets no new work" "$serve" '^(TestDrainedDataCentreGetsNoNewWork|TestDrainFromEachSource|TestDrainedDataCentreReturns)$'
promise "a caller gets the whole answer to its own request" "$serve ./internal/radishtarget" '^(TestCallersGetCompleteResponsesToTheirOwnRequests|TestClientClassifiesResponses)$'
promise "a refusal that says not run is true" "$serve ./pkg/radishclaim" '^(TestNotRunIsReportedOnlyIfNothingRan|TestPromisesUnderFaults|TestAtMostOnceUnderFaults|TestLateUpdateOfRefusedClaim)$'
promise "a non-idempotent request runs at most once" "./pkg/radishclaim $serve ./e2e" '^(TestAtMostOnceUnderFaults|TestAtMostOnceFailsWithoutCondition|TestFrozenClaimAfterSweep.*|TestRetryGetsRecordedResponse|TestKilledEntryRunsNoBookingTwice|TestFrozenEntry)$'
promise "a leaving target gets no new work" "$serve" '^TestDrainFromEachSource$'
promise "a graceful shutdown cuts no request" "$serve ./e2e" '^(TestGracefulShutdownCompletesRequests|TestShutdownRecordsLastOutcome|TestTerminatedEntryAnswersAcceptedRequests)$'
promise "an accepted configuration is in force everywhere and never reverts" "$serve ./pkg/radishconfig" '^(TestConfigurationIsInForceWithinSeconds|TestNewVMGetsConfigurationFromPeers|TestConfigurationUnderFaults)$'
adapter=./platform/radishadapter
site=./internal/radishsite
promise "platform: a send is one send, and a refusal that says not run is true" "$adapter ./internal/radishrelay" '^(TestForwardSendsEachRequestOnce|TestRetryByRouteKind|TestForwardReportsNotSentIfConnectionIsRefused)$'
promise "platform: an answer is whole and the call's own" "$adapter ./internal/radishrelay" '^(TestForwardRejectsInvalidResponses|TestAbortedResponseIsIncomplete|TestTruncatedStreamIsAborted|TestStreamResumesOnAnotherTarget)$'
promise "platform: repeats stay in the budget" "./internal/radishrelay" '^TestRetriesStayWithinBudget$'
promise "platform: changes are in force in time and never go back" "$site ./internal/radishsync ./pkg/radishmirror" '^(TestConfigurationReachesVMsWithoutStore|TestConfigurationVersionNeverDecreases|TestCheckerFindsChangesMissedByWatch|TestFollowerListsAgainWhenHistoryIsGone|TestApplyIgnoresOlderRecords|TestReplayLargeConfigurationOverSlowLinks|TestPeerUnawareOfRemovedRecordIsDetected|TestOutdatedStateIsIgnored)$'
promise "platform: leaving and evacuated targets get nothing" "./pkg/radishfleet $site ./e2e" '^(TestLeavingAndEvacuatedTargetsAreNotPicked|TestTargetsFollowTheirRecords|TestEvacuationIsRevoked|TestSiteFollowsChanges)$'
promise "platform: records that lapsed in an outage are kept for two seconds" "$site" '^TestTargetsExpiredInOutageAreKept$'
promise "platform: cold targets get no more than they bear" "./pkg/radishfleet" '^TestColdTargetRateStaysWithinQuotas$'
promise "platform: a call that leaves takes its work along" "./internal/radishrelay ./internal/radishstage" '^(TestNoRetryAfterCallerLeaves|TestCancelledRequestDropsItsPieces)$'
promise "platform: what cannot be served is refused at once" "./internal/radishstage ./internal/radishrelay ./pkg/radishbatch" '^(TestSimulatedMixedTimeLimits|TestOverloadIsRefusedAtOnce|TestFullStagesSetRetryAfter|TestRouteTimeout)$'
promise "platform: a data centre that is cut off and mute targets are left" "./pkg/radishfleet ./internal/radishrelay" '^(TestUnreachableDataCentreIsExcluded|TestRemovedProbeTargetIsReplaced|TestInconclusiveOutcomesAreIgnored|TestUnresponsiveTargetIsEjected)$'
promise "platform: VMs agree on who coordinates, and leave one that stands still" "$site ./internal/radishstage ./pkg/radishpeer" '^(TestReplayAllLinksReset|TestReplayAllVMsStart|TestReplayTerminatedVMIsReplaced|TestReplayOneConnectionPerPair|TestPlanFailsOverFromFrozenCoordinator|TestFrozenPeerIsNotLinked|TestPlanIsRetriedAtSameCoordinatorAfterLinkReset)$'
promise "platform: stopping cuts no call" "./e2e ./internal/radishrelay ./internal/radishstage" '^(TestLastVMCoordinatesWhileLeaving|TestSiteCompletesCallsDuringShutdown|TestStopRefusesCallsInStages)$'
promise "platform: an outage of the store is outlived" "./e2e ./internal/radishsync $site" '^(TestSiteServesDuringStoreOutage|TestFollowerRecoversFromStoreOutage|TestVMStartedInOutageSyncsFromSeed)$'
promise "platform: bad input is refused and loses nothing" "$adapter ./e2e" '^(TestFrontEndRejectsBadInput|TestDecodeTargetRejectsInvalidRecords|TestParseSettingsReportsAllErrors|TestSiteReloadsItsSettings)$'
exit "$failed"
