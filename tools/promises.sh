#!/usr/bin/env bash
# Runs the tests that verify each guarantee of the system ("promise") and prints whether it holds. Exits with a non-zero
# status if the tests of a promise fail ("red") that KNOWN-RED.txt does not list.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
# Known failures are skipped here; tools/test.sh runs them and prints their results.
skip=^$
if [ -f KNOWN-RED.txt ]; then
  skip="^($(sed -n 's/^test: [^ ]* \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|'))\$"
fi

promise() { # promise NAME PACKAGES TESTS
  local name=$1 packages=$2 tests=$3 output
  # shellcheck disable=SC2086
  if output=$(go test -count=1 -v -run "$tests" -skip "$skip" $packages 2>&1) && grep -q -e '--- PASS' <<<"$output"; then
    echo "promise: $name: holds"
    return
  fi
  echo "promise: $name: red"
  if [ -f KNOWN-RED.txt ] && grep -q "^promise: $name" KNOWN-RED.txt; then
    return
  fi
  grep -v -e '^=== ' <<<"$output" | tail -n 20 >&2
  failed=1
}

serve=./internal/radishserve
promise "stage results are never lost, duplicated or returned to another request" "$serve ./internal/radishtarget" '^(TestPromisesUnderFaults|TestClientClassifiesResponses)$'
promise "cold targets never get more work than their capacity" "$serve ./pkg/radishlease" '^(TestWarmTargetTurnsColdUnderLoad|TestStewardLeavesUnderLoad|TestFrozenSteward|TestColdTargetsInPlatformOutage|TestOneHolderUnderFaults)$'
promise "drained data centres get no new work" "$serve" '^(TestDrainedDataCentreGetsNoNewWork|TestDrainFromEachSource|TestDrainedDataCentreReturns)$'
promise "callers get the complete response to their own request" "$serve ./internal/radishtarget" '^(TestCallersGetCompleteResponsesToTheirOwnRequests|TestClientClassifiesResponses)$'
promise "requests reported as not run were not run" "$serve ./pkg/radishclaim" '^(TestNotRunIsReportedOnlyIfNothingRan|TestPromisesUnderFaults|TestAtMostOnceUnderFaults|TestLateUpdateOfRefusedClaim)$'
promise "non-idempotent requests run at most once" "./pkg/radishclaim $serve ./e2e" '^(TestAtMostOnceUnderFaults|TestAtMostOnceFailsWithoutCondition|TestFrozenClaimAfterSweep.*|TestRetryGetsRecordedResponse|TestKilledEntryRunsNoBookingTwice|TestFrozenEntry)$'
promise "leaving targets get no new work" "$serve" '^TestDrainFromEachSource$'
promise "graceful shutdown aborts no request" "$serve ./e2e" '^(TestGracefulShutdownCompletesRequests|TestShutdownRecordsLastOutcome|TestTerminatedEntryAnswersAcceptedRequests|TestEntryAnswersRequestsReadDuringItsStop|TestEntryAnswersOperatorsDuringItsStop)$'
promise "accepted configurations apply on every VM and never revert" "$serve ./pkg/radishconfig" '^(TestConfigurationIsInForceWithinSeconds|TestNewVMGetsConfigurationFromPeers|TestConfigurationUnderFaults)$'
adapter=./platform/radishadapter
site=./internal/radishsite
promise "platform: each attempt is sent once, and calls reported as not run were not run" "$adapter ./internal/radishrelay" '^(TestForwardSendsEachRequestOnce|TestRetryByRouteKind|TestForwardReportsNotSentIfConnectionIsRefused)$'
promise "platform: responses are complete and belong to their call" "$adapter ./internal/radishrelay" '^(TestForwardRejectsInvalidResponses|TestAbortedResponseIsIncomplete|TestTruncatedStreamIsAborted|TestStreamResumesOnAnotherTarget)$'
promise "platform: results of a batch and events of a stream are complete and their own" "$adapter ./internal/radishrelay" '^(TestLateSecondCopyReachesNoOtherCall|TestHandlesOfOtherTargetsAreRefused|TestLinesThatFillTheReadBuffer|FuzzReadEvent)$'
promise "platform: long prompts go to fast engines, and VMs agree on which these are" "./pkg/radishfleet $site" '^(TestReplayLongPromptsGoToFastEngines|TestUsualPacesConverge|TestPeersExchangeUsualPaces|TestEqualPacesChangeNoChoice)$'
promise "platform: a lack of descriptors ends no VM" "./pkg/radishpeer ./internal/radishconn" '^(TestLackOfDescriptorsEndsNoNode|TestIdleConnectionsYield|TestNewConnectionsHaveTimeForTheirRequest|TestUnusedConnectionsTimeOut)$'
promise "platform: a connection with a request is neither closed as unused nor cut off for another one" "./internal/radishconn ./platform/radishadapter" '^(TestLateWithdrawalSparesNextRequest|TestWholeHeadWithoutMemoryIsAnswered|TestRequestReadAsConnectionIsClosedIsAnswered|TestArrivedRequestIsReadBeforeClose|TestPartOfHeadTimesOut)$'
promise "platform: no crowd of callers takes a VM over its memory" "./internal/radishmemory ./internal/radishdial $adapter ./e2e/crowd" '^(TestReplayCrowd|TestStalledGrantsGoFirst|TestRunningGrantsAreKept|TestLeaksUnderRandomUse|TestDrippingBodiesAreCutOff|TestStalledBodyGivesWay|TestRefusedBodiesReachNoHandler|TestCallerPauses|TestCallerMayPause|TestMany.*|Test.*StopShort|Test.*FarOverLimit|Test.*DoNotRead|TestIdleAndHalfOpenConnections|TestSingleLargeBodyIsServed)$'
promise "platform: copies of slow calls stay within their limit, and callers get one response" "./pkg/radishhedge ./pkg/radishfleet ./pkg/radishquarantine ./internal/radishtarget ./internal/radishrelay" '^(TestCopiesStayWithinShare|TestUnusedCopiesAreLimited|TestOneOfTwoResponsesIsRelayed|TestLoserIsCancelledAtOnce|TestCallerLeavesHedgedCall|TestCallsThatMustNotBeCopied|TestCopiesCountAsExecutions|TestReplaySlowResponses|TestCopiesLeaveHalfOfRetryBudget|TestCopyNeedsSpareTarget|TestPartsOfFirstCrashAreSuspected)$'
promise "platform: retries stay within the budget" "./internal/radishrelay" '^TestRetriesStayWithinBudget$'
promise "platform: configuration changes apply in time and never revert" "$site ./internal/radishsync ./pkg/radishmirror" '^(TestConfigurationReachesVMsWithoutStore|TestConfigurationVersionNeverDecreases|TestCheckerFindsChangesMissedByWatch|TestFollowerListsAgainWhenHistoryIsGone|TestApplyIgnoresOlderRecords|TestReplayLargeConfigurationOverSlowLinks|TestPeerUnawareOfRemovedRecordIsDetected|TestOutdatedStateIsIgnored)$'
promise "platform: VMs follow a store that comes back from an older copy" "./pkg/radishmirror ./internal/radishsync ./platform/radishadapter $site ./e2e" '^(TestMirrorsFollowStoreUnderDrills|TestLaterEraIsNewer|TestLostRecordsAreKeptUntilSettled|TestTargetThatLeft.*|TestFollowerListsAgainInNewEra|TestFollowerFindsNewEraByItself|TestRevisionsHaveTheirEra|TestWatchAcrossErasNeedsList|TestListOfTwoErasIsReadAgain|TestResponseOfEarlierEraIsNoResponse|TestInvalidErasAreIgnored|TestStatusOfEarlierEraIsNotWritten|TestConfigurationStaysInForceInDrill|TestTargetsInDrill|TestLostRecordsOfVMsAreWrittenAgain|TestReplayDrillWhileTargetIsCold|TestChangesAfterStoreDrill)$'
promise "platform: leaving and evacuated targets get no calls" "./pkg/radishfleet $site ./e2e" '^(TestLeavingAndEvacuatedTargetsAreNotPicked|TestTargetsFollowTheirRecords|TestEvacuationIsRevoked|TestSiteFollowsChanges)$'
promise "platform: targets that announce in a response that they leave get no new calls" "./pkg/radishfleet $adapter $site ./e2e" '^(TestAnnouncedLeavingHolds|TestEngineThatLeavesKeepsNoPrompts|TestLeavingIsReadFromEveryResponse|TestPeersHearOfLeavingTargets|TestLeavingTargetAnnouncesInItsResponses)$'
promise "platform: targets that ask for a pause get no calls until its end" "./pkg/radishfleet $adapter ./internal/radishrelay ./e2e" '^(TestPausedTargetIsNotPicked|TestCallsAfterPauseGrowStepByStep|TestDecodePause|TestAllTargetsPaused|TestPausedTargetGetsNoCalls)$'
promise "platform: a bad version gets few calls, a good one is served by its deadline" "./pkg/radishrollout ./pkg/radishfleet ./internal/radishrelay ./internal/radishstage $site ./e2e" '^(TestVersionRuleBindsEveryChoice|TestAdmittedCallsGoToFewCandidates|TestCandidateBatchIsAsLargeAsAdmitted|TestUnseenVersionWaitsForItsOrder|TestPiecesOfNewVersionStayWithinTheirShare|TestResultsOfVersions|TestResultsOfBatches|TestRolloutOf.*|TestVerdictReachesAllVMs|TestRolloutsNeedTheirLimits|TestRollouts)$'
promise "platform: the state of an order is written in time, once, and holds" "$adapter $site" '^(TestStatusIsWrittenDespiteFailures|TestCutOffVMsKeepToTheOrder|TestAllVMsKilledDuringRamp|TestVMKilledDuringOrder|TestOrdersInARow|TestReplacedOrder|TestReorderedAfterRevert|TestHistoriesOfPeers|TestVMWaitsForOrders|TestOrderWithoutTargets|TestCompletedWaitsForResultsAtOldTargets|TestRolloutStatusIsWrittenOnItsRevision|TestRolloutWriteErrorsTellWhatIsKnown)$'
promise "platform: records that expire in a store outage are kept for two seconds" "$site" '^TestTargetsExpiredInOutageAreKept$'
promise "platform: cold targets never get more calls than their capacity" "./pkg/radishfleet ./internal/radishsite $adapter ./e2e" '^(TestColdTargetRateStaysWithinQuotas|TestReplayVMsJoinAndRestartWhileTargetIsCold|TestTargetTurnsColdDuringStoreOutage|TestTargetThatSaysItIsColdHolds|TestMergeColdPassesOnWhatIsNew|TestHealthTellsHowLongTargetIsCold)$'
promise "platform: cancelled calls cancel their pending work" "./internal/radishrelay ./internal/radishstage" '^(TestNoRetryAfterCallerLeaves|TestCancelledRequestDropsItsPieces)$'
promise "platform: calls that cannot be served are refused immediately" "./internal/radishstage ./internal/radishrelay ./pkg/radishbatch" '^(TestSimulatedMixedTimeLimits|TestOverloadIsRefusedAtOnce|TestFullStagesSetRetryAfter|TestRouteTimeout)$'
promise "platform: unreachable data centres and unresponsive targets are not used" "./pkg/radishfleet ./internal/radishrelay" '^(TestUnreachableDataCentreIsExcluded|TestRemovedProbeTargetIsReplaced|TestInconclusiveOutcomesAreIgnored|TestUnresponsiveTargetIsEjected)$'
promise "platform: VMs agree on the coordinator and replace a frozen one" "$site ./internal/radishstage ./pkg/radishpeer" '^(TestReplayAllLinksReset|TestReplayAllVMsStart|TestReplayTerminatedVMIsReplaced|TestReplayOneConnectionPerPair|TestPlanFailsOverFromFrozenCoordinator|TestReplayPartitionLeavesOneCoordinator|TestFrozenPeerIsNotLinked|TestPlanIsRetriedAtSameCoordinatorAfterLinkReset)$'
promise "platform: a restarted VM is not given the coordination back" "$site ./internal/radishstage ./pkg/radishfleet" '^(TestReplayRestartedCoordinatorIsNotGivenWorkBack|TestReplayCoordinatorsAfterPartition|TestInvalidCoordinatorsOfPeersAreIgnored|TestMergeKeepsLongestIncumbency|TestReplayStartingCoordinatorIsAskedAgain)$'
promise "platform: targets that respond with errors get few calls" "./pkg/radishfleet ./internal/radishrelay" '^(TestReplayTargetWithErrorResponses|TestErrorsOfCallsKeepTargetsInUse|TestErrorResponsesCountAgainstTarget)$'
promise "platform: a part of a prompt that crashes targets reaches few of them" "./pkg/radishquarantine ./internal/radishrelay $site ./e2e" '^(TestCommonPartOfCrashesIsQuarantined|TestOwnPartOfPromptCrashesTargets|TestEvidenceOutlastsAllVMs|TestEvidenceIsWrittenAgain|TestVMWaitsForEvidence|TestLastingEvidenceIsTakenOver|TestEvidenceOnPromptOutlastsKilledVMs|TestSoundCallsAreAllowed|TestOrderOfReportsDoesNotMatter|TestPromptPartCrashesTargetAfterTarget|TestReplayCrashesSeenByDifferentVMs|TestPromptPartCrashesEnginesOfAllVMs)$'
promise "platform: stopping aborts no call" "./e2e ./internal/radishconn ./internal/radishrelay ./internal/radishstage" '^(TestSiteAnswersRequestsReadDuringItsStop|TestRequestReadAsDrainBeginsIsAnswered|TestDrainWaitsForRequests|TestLastVMCoordinatesWhileLeaving|TestSiteCompletesCallsDuringShutdown|TestStopRefusesCallsInStages|TestStopAnswersWaitingCalls|TestLateCallsAreRefused|TestSiteRefusesCallsLateInItsGrace|TestSiteAnswersWaitingCallsAtItsEnd)$'
promise "platform: service continues during a store outage" "./e2e ./internal/radishsync $site" '^(TestSiteServesDuringStoreOutage|TestFollowerRecoversFromStoreOutage|TestVMStartedInOutageSyncsFromSeed)$'
promise "platform: invalid input is rejected without losing valid data" "$adapter ./e2e" '^(TestHangupBeforeMainIsNoEnd|TestFrontEndRejectsBadInput|TestDecodeTargetRejectsInvalidRecords|TestParseSettingsReportsAllErrors|TestSiteReloadsItsSettings)$'
promise "platform: a coordinator stays responsive in a burst, and uses an address for its newest target only" "./internal/radishstage ./pkg/radishfleet ./pkg/radishbatch" '^(TestReplayBurstLeavesCoordinatorResponsive|TestReplayAddressReusedAfterOutage|TestAddressIsUsedForItsNewestTarget|TestQueueOrderMatchesSorting)$'
promise "platform: slow targets get work by their speed, and even ones as before" "./pkg/radishfleet ./pkg/radishbatch ./internal/radishrelay ./internal/radishstage" '^(TestReplayUnevenTargets|TestChoicesOfEvenTargetsStay|TestFalseReportsTakeFewCalls|TestAgeOfReportWeakensIt|TestUnevennessEndsWithReports|TestDistanceIsNoSlowness|TestSlowEnginesGetHalfOfThePrompts|TestUnreadPromptsCountAsLoad|TestPiecesWaitForFasterTargets|TestTimesOfCallsAreLearned|TestPromptsAreReadOnce|TestReplayUnevenStageTargets|TestEvenStageTargetsAreServedAsBefore)$'
promise "platform: urgent calls come first, and each priority and team keeps its part of the capacity" "./internal/radishstage ./internal/radishrelay ./pkg/radishadmission" '^(TestReplayUrgentPlansAreAdmittedBehindShortQueue|TestReplayUrgentWorkAfterLessUrgent|TestPlansGiveWayBeforeTheirPiecesRan|TestReplayBurstOfUrgentKind|TestReplayFloorOfLeastUrgent|TestReplayTeamFarAboveItsShare|TestReplayUrgentKindAmongLargerOnes|TestRefusedCallersReturnInOrderOfUrgency|TestPlanHasUrgencyOnlyWherePrioritiesCompete|TestFloorsAreBounded|TestSharesAreBounded)$'
promise "platform: admitted plans find space for their results, and hopeless ones are dropped" "./internal/radishstage" '^(TestReplayResultSpaceShort|TestReplayDataCentreEvacuated|TestHopelessPlanReleasesItsResults|TestPlansInTimeAreNotHopeless)$'
promise "platform: no message ends a process or takes memory without bound" "$adapter $site ./internal/radishstage ./pkg/radishpeer" '^(TestMalformedPlansOfPeersAreRefused|TestEndless.*|TestPanicEnds.*|TestSecondCopyReachesNoOtherCall)$'
exit "$failed"
