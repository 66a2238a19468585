#include "core/logger.h"
#include "tests/matrix/matrix_table.h"
#include "tests/matrix/measure.h"

#include <CLI/CLI.hpp>

#include <atomic>
#include <functional>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornslip::matrix {

namespace {

/** Counts results and prints failures; used from several threads. */
class Summary
{
public:
    void add(const std::string &name, const std::string &violation)
    {
        const std::lock_guard lock(m_mutex);
        if (violation.empty()) {
            ++m_passed;
            return;
        }
        ++m_failed;
        std::cout << "FAILED " << name << ": " << violation << "\n";
    }

    int finish() const
    {
        std::cout << m_passed << " passed, " << m_failed << " failed\n";
        return m_failed == 0 ? 0 : 1;
    }

private:
    std::mutex m_mutex;
    int m_passed = 0;
    int m_failed = 0;
};

/** Runs @p task for 0 to @p n - 1 on @p jobs threads. */
void runAll(std::size_t n, unsigned jobs, const std::function<void(std::size_t)> &task)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < jobs; ++i) {
        threads.emplace_back([&] {
            for (auto it = next++; it < n; it = next++)
                task(it);
        });
    }
    for (auto &it : threads)
        it.join();
}

std::vector<Cell> runTable(unsigned jobs)
{
    constexpr std::size_t kColumns = kStageNames.size() + kControlStageNames.size();
    std::vector<Cell> cells(kFaultNames.size() * kColumns);
    runAll(cells.size(), jobs, [&](std::size_t n) {
        const auto fault = kFaultNames[n / kColumns].first;
        const auto column = n % kColumns;
        if (column < kStageNames.size())
            cells[n] = runCell(fault, kStageNames[column].first);
        else
            cells[n] = runCell(fault, kControlStageNames[column - kStageNames.size()].first);
    });
    return cells;
}

void printTable(const std::vector<Cell> &cells)
{
    std::string row;
    for (const auto &it : cells) {
        if (it.fault != row)
            std::cout << (row.empty() ? "" : "\n") << "| " << it.fault << " |";
        row = it.fault;
        std::cout << (it.state == CellState::Passed   ? " ok |"
                      : it.state == CellState::Failed ? " FAILED |"
                                                      : " - |");
    }
    std::cout << "\n\nStruck out:\n";
    for (const auto &it : cells) {
        if (it.state == CellState::Struck)
            std::cout << "- " << it.fault << " / " << it.stage << ": " << it.text << "\n";
    }
}

int replay(std::uint64_t seed)
{
    std::string description;
    const auto result = runRandom(seed, description);
    std::cout << "seed " << seed << ": " << description << "\nstruck " << result.struck << "\n";
    Summary summary;
    summary.add("seed " + std::to_string(seed), result.violation);
    return summary.finish();
}

} // namespace

} // namespace hawthornslip::matrix

/** Runs the fault matrix of docs/faults.md, or replays one of its random runs. */
int main(int argc, char **argv)
{
    using hawthornslip::LogLevel;
    namespace matrix = hawthornslip::matrix;
    hawthornslip::setLogLevel(LogLevel::Error);
    CLI::App app{"Runs the fault matrix of docs/faults.md."};
    std::uint64_t seed = 0;
    std::uint64_t firstSeed = 1;
    std::size_t runs = 10'000;
    unsigned jobs = 3;
    bool table = false;
    bool measure = false;
    auto *replayOption = app.add_option("--replay", seed, "Runs the random run of this seed only.");
    app.add_option("--runs", runs, "Number of random runs with two faults.");
    app.add_option("--first-seed", firstSeed, "Seed of the first random run.");
    app.add_option("--jobs", jobs, "Runs at a time.");
    app.add_flag("--table", table, "Prints the table of docs/faults.md.");
    app.add_flag("--measure", measure,
                 "Prints the store calls of claims and leases instead, in virtual time.");
    CLI11_PARSE(app, argc, argv);
    if (measure) {
        matrix::measureStoreUse();
        return 0;
    }
    if (*replayOption)
        return matrix::replay(seed);

    matrix::Summary summary;
    const auto cells = matrix::runTable(jobs);
    for (const auto &it : cells) {
        if (it.state != matrix::CellState::Struck)
            summary.add(it.fault + " / " + it.stage,
                        it.state == matrix::CellState::Failed ? it.text : "");
    }
    if (table)
        matrix::printTable(cells);
    matrix::runAll(runs, jobs, [&](std::size_t n) {
        std::string description;
        const auto result = matrix::runRandom(firstSeed + n, description);
        summary.add("seed " + std::to_string(firstSeed + n) + " (" + description + ")",
                    result.violation);
    });
    return summary.finish();
}
