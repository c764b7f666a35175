/// @file
/// Factory functions of all scenarios.
#pragma once

#include "sim/scenario.h"

#include <memory>

namespace shedshed::sim {

/// No faults.
std::unique_ptr<Scenario> makeCalm();
/// One store at a time loses power, repeatedly.
std::unique_ptr<Scenario> makeKillOneStore();
/// All stores, sometimes all machines with a disk, lose power at the same time.
std::unique_ptr<Scenario> makeKillAllStores();
/// Several fronts are killed at the same time.
std::unique_ptr<Scenario> makeKillFronts();
/// Machines lose power right after an acknowledgement.
std::unique_ptr<Scenario> makePowerLoss();
/// Fronts are frozen and unfrozen.
std::unique_ptr<Scenario> makeFreezeFronts();
/// Control nodes are frozen and unfrozen.
std::unique_ptr<Scenario> makeFreezeStores();
/// One control node is isolated, sometimes with some fronts.
std::unique_ptr<Scenario> makeCutControl();
/// One zone is isolated.
std::unique_ptr<Scenario> makeSplitZone();
/// The network is partitioned into two halves, neither with a majority of the registers.
std::unique_ptr<Scenario> makeSplitHalf();
/// Messages are lost, delayed or duplicated, and answers to operators are lost.
std::unique_ptr<Scenario> makeLostAnswers();
/// Many operators make concurrent changes while control nodes fail.
std::unique_ptr<Scenario> makeRacingOperators();
/// All stores in turn are destroyed and replaced, each right after the previous repair.
std::unique_ptr<Scenario> makeReplaceStores();
/// All nodes are drained and restarted in turn.
std::unique_ptr<Scenario> makeRollingRestart();
/// Engines crash, freeze, slow down, drain and give faulty answers.
std::unique_ptr<Scenario> makeEngineFaults();
/// Random faults of all kinds.
std::unique_ptr<Scenario> makeChaos();

}  // namespace shedshed::sim
