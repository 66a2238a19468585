#include "core/logger.h"
#include "tests/matrix/control_scenario.h"
#include "tests/matrix/scenario.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <iostream>
#include <string>

namespace hawthornslip::matrix {

namespace {

int g_passed = 0;
int g_failed = 0;

void report(const std::string &name, const std::string &violation)
{
    if (violation.empty()) {
        ++g_passed;
        return;
    }
    ++g_failed;
    std::cout << "FAILED " << name << ": " << violation << "\n";
}

void runTable()
{
    for (const auto &[fault, faultName] : kFaultNames) {
        for (const auto &[stage, stageName] : kStageNames) {
            std::string violation;
            bool struck = false;
            for (const auto &[kind, kindName] : kTargetNames) {
                for (const bool other : {false, true}) {
                    if (!reaches(kind, stage) || !violation.empty())
                        continue;
                    const auto result = runScenario(1, kind, {{fault, stage, other}});
                    struck = struck || result.struck > 0;
                    if (!result.violation.empty())
                        violation = std::string(kindName) + (other ? " (other) " : " ") +
                                    result.violation;
                }
            }
            if (!struck)
                violation = "the fault never struck";
            report(std::string(faultName) + " / " + std::string(stageName), violation);
        }
    }
}

void runControlTable()
{
    for (const auto &[fault, faultName] : kFaultNames) {
        for (const auto &[stage, stageName] : kControlStageNames) {
            std::string violation;
            bool struck = false;
            for (const bool other : {false, true}) {
                if (!violation.empty())
                    continue;
                const auto result = runControlScenario(1, {{fault, stage, other}});
                struck = struck || result.struck > 0;
                if (!result.violation.empty())
                    violation = (other ? "(other) " : "") + result.violation;
            }
            if (!struck)
                violation = "the fault never struck";
            report(std::string(faultName) + " / " + std::string(stageName), violation);
        }
    }
}

} // namespace

} // namespace hawthornslip::matrix

/** Runs the fault matrix. */
int main(int argc, char **argv)
{
    hawthornslip::setLogLevel(hawthornslip::LogLevel::Error);
    CLI::App app{"Runs the fault matrix of docs/faults.md."};
    CLI11_PARSE(app, argc, argv);
    hawthornslip::matrix::runTable();
    hawthornslip::matrix::runControlTable();
    std::cout << hawthornslip::matrix::g_passed << " passed, " << hawthornslip::matrix::g_failed
              << " failed\n";
    return hawthornslip::matrix::g_failed == 0 ? 0 : 1;
}
