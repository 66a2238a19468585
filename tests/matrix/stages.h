#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

#include <functional>

namespace hawthornslip::matrix {

/** The steps of a request at which a fault may strike. */
enum class Stage {
    Accept,
    Classify,
    Claim,
    AskOwner,
    Queue,
    Grant,
    Connect,
    Send,
    FirstToken,
    MidStream,
    Finish,
    RecordOutcome,
    Reply
};

inline constexpr EnumNames<Stage, 13> kStageNames = {{
        {Stage::Accept, "accept"},
        {Stage::Classify, "classify"},
        {Stage::Claim, "claim"},
        {Stage::AskOwner, "ask owner"},
        {Stage::Queue, "queue"},
        {Stage::Grant, "grant"},
        {Stage::Connect, "connect"},
        {Stage::Send, "send"},
        {Stage::FirstToken, "first token"},
        {Stage::MidStream, "mid-stream"},
        {Stage::Finish, "finish"},
        {Stage::RecordOutcome, "record outcome"},
        {Stage::Reply, "reply"},
}};

/** The steps of control work at which a fault may strike. */
enum class ControlStage {
    WriteConfig,
    Spread,
    Adopt,
    Acquire,
    Renew,
    Order,
    Confirm,
    HandOver,
    Stop
};

inline constexpr EnumNames<ControlStage, 9> kControlStageNames = {{
        {ControlStage::WriteConfig, "write config"},
        {ControlStage::Spread, "spread"},
        {ControlStage::Adopt, "adopt"},
        {ControlStage::Acquire, "acquire"},
        {ControlStage::Renew, "renew"},
        {ControlStage::Order, "order"},
        {ControlStage::Confirm, "confirm"},
        {ControlStage::HandOver, "hand over"},
        {ControlStage::Stop, "stop"},
}};

/** Called when a request reaches a stage. */
using StageHook = std::function<void(Stage stage, const RequestId &request)>;

} // namespace hawthornslip::matrix
