#include "modules/retry/window_budget.h"

namespace hawthornslip {

WindowBudget::WindowBudget(double ratio, Duration window)
    : m_ratio(ratio)
    , m_cellSpan(window / kCells)
{}

void WindowBudget::onRequest(TimePoint now)
{
    ++cellAt(now).requests;
}

bool WindowBudget::tryTake(TimePoint now)
{
    if (available(now) < 1)
        return false;
    ++cellAt(now).repeats;
    return true;
}

double WindowBudget::available(TimePoint now) const
{
    const std::int64_t period = periodOf(now);
    double requests = 0;
    double repeats = 0;
    for (const auto &it : m_cells) {
        const std::int64_t age = period - it.period;
        if (it.period < 0 || age < 0 || age > static_cast<std::int64_t>(kCells))
            continue;
        repeats += it.repeats;
        // The oldest cell lies only in part in the window: its repeats count, its requests don't.
        if (age < static_cast<std::int64_t>(kCells))
            requests += it.requests;
    }
    return m_ratio * requests - repeats;
}

WindowBudget::Cell &WindowBudget::cellAt(TimePoint now)
{
    const std::int64_t period = periodOf(now);
    auto &cell = m_cells[static_cast<std::size_t>(period) % m_cells.size()];
    if (cell.period != period)
        cell = Cell{period, 0, 0};
    return cell;
}

} // namespace hawthornslip
