#include "main/memory_report.h"

#include "core/metric_names.h"

#include <malloc.h>

#include <utility>

namespace hawthornslip {

namespace {

constexpr int kMappedBytes = 128 << 10;
// Buffers of single reads come and go; the heap is not shrunk after each of them.
constexpr int kKeptHeapBytes = 1 << 20;

} // namespace

void mapLargeBuffers()
{
#ifdef M_MMAP_THRESHOLD
    mallopt(M_MMAP_THRESHOLD, kMappedBytes);
    mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes);
#endif
}

void MemoryReport::write(Metrics &metrics)
{
    metrics.gauge(metric::kHeldBytes, {}, static_cast<double>(m_account.total()));
    const std::uint64_t reclaimed = m_account.reclaimed();
    const std::uint64_t added = reclaimed - std::exchange(m_reportedReclaims, reclaimed);
    if (added > 0)
        metrics.count(metric::kReclaims, {}, static_cast<double>(added));
}

} // namespace hawthornslip
