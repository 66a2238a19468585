#pragma once

#include "core/time.h"
#include "tests/support/fake_network.h"

#include <cstddef>
#include <cstdint>

namespace hawthornslip::bench {

/** A group of nodes that watch each other by one scheme, in simulated time. */
class ClusterUnderTest
{
public:
    virtual ~ClusterUnderTest() = default;

    virtual void setFaults(const test::LinkFaults &faults) = 0;
    virtual void start(std::size_t i) = 0;
    virtual void crash(std::size_t i) = 0;
    virtual void pause(std::size_t i, Duration span) = 0;
    /** Lets 10 ms pass. */
    virtual void step() = 0;
    virtual bool running(std::size_t i) const = 0;
    virtual bool sees(std::size_t viewer, std::size_t i) const = 0;
    /** @return how often the set of live nodes has changed at node @p i. */
    virtual int changes(std::size_t i) const = 0;

    std::uint64_t messages = 0;
    /** Bytes of the messages without what the transport adds. */
    std::uint64_t bytes = 0;
};

} // namespace hawthornslip::bench
