#pragma once

#include "bench/membership/cluster_under_test.h"
#include "servers/membership/membership_codec.h"
#include "tests/support/membership_cluster.h"

namespace hawthornslip::bench {

/** The scheme of the product: modules/membership with the messages of proto/peer.proto. */
class RingCluster : public ClusterUnderTest
{
public:
    RingCluster(std::size_t n, std::uint64_t seed)
        : m_cluster(n, seed)
    {
        m_cluster.onSend = [this](std::size_t from, const membership::Action &action) {
            auto outgoing = membership::encode(action);
            if (!outgoing)
                return;
            outgoing->message.set_sender(test::MembershipCluster::idOf(from).value);
            // Values of the usual length.
            outgoing->message.set_incarnation(1'700'000'000'000'000);
            outgoing->message.set_sequence(100'000);
            outgoing->message.set_config_generation(1000);
            ++messages;
            bytes += outgoing->message.ByteSizeLong();
        };
    }

    void setFaults(const test::LinkFaults &faults) override { m_cluster.network.faults = faults; }
    void start(std::size_t i) override { m_cluster.start(i); }
    void crash(std::size_t i) override { m_cluster.crash(i); }
    void pause(std::size_t i, Duration span) override { m_cluster.pause(i, span); }
    void step() override { m_cluster.run(milliseconds(10)); }
    bool running(std::size_t i) const override { return m_cluster.running(i); }
    bool sees(std::size_t viewer, std::size_t i) const override
    {
        return m_cluster.sees(viewer, i);
    }
    int changes(std::size_t i) const override { return m_cluster.changes(i); }

private:
    test::MembershipCluster m_cluster;
};

} // namespace hawthornslip::bench
