#include "tests/matrix/matrix_table.h"

#include <random>

namespace hawthornslip::matrix {

namespace {

constexpr std::uint64_t kTableSeed = 1;

template <typename Enum, std::size_t N>
Enum pick(const EnumNames<Enum, N> &names, std::mt19937_64 &random)
{
    return names[random() % N].first;
}

bool isConfigStage(ControlStage stage)
{
    return stage == ControlStage::WriteConfig || stage == ControlStage::Spread ||
           stage == ControlStage::Adopt;
}

ScenarioResult runControl(std::uint64_t seed, const std::vector<ControlStrike> &strikes)
{
    return isConfigStage(strikes.front().stage) ? runConfigScenario(seed, strikes)
                                                : runControlScenario(seed, strikes);
}

Cell makeCell(Fault fault, std::string_view stage, std::string_view struckOut)
{
    Cell cell{std::string(nameOf(kFaultNames, fault)), std::string(stage), CellState::Passed,
              std::string(struckOut)};
    if (!struckOut.empty())
        cell.state = CellState::Struck;
    return cell;
}

void fail(Cell &cell, std::string text)
{
    cell.state = CellState::Failed;
    cell.text = std::move(text);
}

} // namespace

std::string_view whyStruckOut(Fault fault, Stage /*stage*/)
{
    if (fault == Fault::LeaseLapsed)
        return "requests use no lease; node pause is the row for them";
    return {};
}

std::string_view whyStruckOut(Fault fault, ControlStage stage)
{
    switch (fault) {
    case Fault::Straggler:
    case Fault::ConnectionReset:
    case Fault::UpstreamCrash:
        if (isConfigStage(stage))
            return "configuration needs no upstream";
        break;
    case Fault::LateOrCrossed:
        return "answers to orders carry no id and have no late effect";
    case Fault::UpstreamLeaving:
        if (isConfigStage(stage))
            return "leaving is itself a change of the configuration: operators racing";
        break;
    case Fault::LeaseLapsed:
        if (isConfigStage(stage))
            return "configuration uses no lease";
        break;
    default:
        break;
    }
    return {};
}

Cell runCell(Fault fault, Stage stage)
{
    auto cell = makeCell(fault, nameOf(kStageNames, stage), whyStruckOut(fault, stage));
    if (cell.state == CellState::Struck)
        return cell;
    bool struck = false;
    for (const auto &[kind, kindName] : kTargetNames) {
        for (const auto &[where, whereName] : kWhereNames) {
            if (!reaches(kind, stage))
                continue;
            const auto result = runScenario(kTableSeed, kind, {{fault, stage, where}});
            struck = struck || result.struck > 0;
            if (!result.violation.empty() && cell.state == CellState::Passed)
                fail(cell, std::string(kindName) + ", " + std::string(whereName) + ", " +
                                   result.violation);
        }
    }
    if (!struck)
        fail(cell, "the fault never struck");
    return cell;
}

Cell runCell(Fault fault, ControlStage stage)
{
    auto cell = makeCell(fault, nameOf(kControlStageNames, stage), whyStruckOut(fault, stage));
    if (cell.state == CellState::Struck)
        return cell;
    bool struck = false;
    for (const auto where : {Where::Own, Where::Other}) {
        const auto result = runControl(kTableSeed, {{fault, stage, where}});
        struck = struck || result.struck > 0;
        if (!result.violation.empty() && cell.state == CellState::Passed)
            fail(cell, std::string(nameOf(kWhereNames, where)) + ", " + result.violation);
    }
    if (!struck)
        fail(cell, "the fault never struck");
    return cell;
}

ScenarioResult runRandom(std::uint64_t seed, std::string &description)
{
    std::mt19937_64 random(seed);
    const auto first = pick(kFaultNames, random);
    // Every fourth run has the same fault twice.
    const auto second = random() % 4 == 0 ? first : pick(kFaultNames, random);
    const auto name = [](Fault fault, std::string_view stage) {
        return std::string(nameOf(kFaultNames, fault)) + " at " + std::string(stage);
    };
    // Control scenarios last longer, so that one run in eight has one.
    if (random() % 8 == 0) {
        std::vector<ControlStrike> strikes;
        for (const auto fault : {first, second}) {
            strikes.push_back({fault, pick(kControlStageNames, random), pick(kWhereNames, random)});
            description += name(fault, nameOf(kControlStageNames, strikes.back().stage)) + "; ";
        }
        return runControl(seed, strikes);
    }
    const auto kind = pick(kTargetNames, random);
    description = std::string(nameOf(kTargetNames, kind)) + ": ";
    std::vector<Strike> strikes;
    for (const auto fault : {first, second}) {
        strikes.push_back({fault, pick(kStageNames, random), pick(kWhereNames, random)});
        description += name(fault, nameOf(kStageNames, strikes.back().stage)) + "; ";
    }
    return runScenario(seed, kind, strikes);
}

} // namespace hawthornslip::matrix
