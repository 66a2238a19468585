#include "core/logger.h"
#include "drivers/system/system_clock.h"
#include "servers/peer/peer_bus.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hawthornslip {

namespace {

class NullMetrics : public Metrics
{
public:
    void count(std::string_view, const MetricLabels &, double) override {}
    void gauge(std::string_view, const MetricLabels &, double) override {}
    void observe(std::string_view, const MetricLabels &, double) override {}
};

class CapturingTransport : public PeerTransport
{
public:
    void setReceiver(Receiver receiver) override { m_receiver = std::move(receiver); }
    void send(const NodeId &, std::string) override {}
    void disconnect(const NodeId &) override {}
    void deliver(const std::string &bytes) { m_receiver(bytes); }

private:
    Receiver m_receiver;
};

/** A started bus whose loop handles each delivered message before the next. */
struct Fixture
{
    SystemClock clock;
    ControlLoop loop{clock};
    CapturingTransport transport;
    NullMetrics metrics;
    PeerBus bus{loop, transport, metrics, NodeId("127.0.0.1:1"), 1};

    Fixture()
    {
        setLogLevel(LogLevel::Error);
        loop.start();
    }
};

} // namespace

} // namespace hawthornslip

/** Gives arbitrary bytes to the peer bus as a message; an invalid one must be dropped. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static hawthornslip::Fixture fixture;
    fixture.transport.deliver(std::string(reinterpret_cast<const char *>(data), size));
    fixture.loop.run([] {});
    return 0;
}
