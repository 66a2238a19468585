#pragma once

#include "drivers/asio/asio_event_loop.h"
#include "tests/crowds/pattern_sender.h"
#include "tests/crowds/raw_worker.h"
#include "tests/soak/gateway_process_runner.h"
#include "tests/soak/store_standin.h"

#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::crowds {

/** Equal connections that open at once. */
struct Group
{
    Pattern pattern;
    std::size_t connections = 0;
};

/** A named crowd of connections against one gateway process. */
struct Crowd
{
    std::string name;
    std::vector<Group> groups;
};

/** @return all crowds; the last one has the groups of all others. */
std::vector<Crowd> allCrowds();

/** What was seen of the process; -1 where nothing could be read. */
struct CrowdResult
{
    bool isReady = false;
    bool lives = false;
    long peakKb = -1;
    long descriptors = -1;
    int ordinaryStatus = 0;
    int largestStatus = 0;

    /** @return true when every promise held. */
    bool isGood() const;
};

/** Starts one gateway process, lets one crowd at it and looks what has become of it. */
class CrowdRun
{
public:
    /** Memory in MiB and descriptors that the settings name: the bounds of the process. */
    static constexpr long kMemoryMb = 64;
    static constexpr long kDescriptors = 700;

    CrowdRun(const std::string &binary, const std::string &folder);

    CrowdResult run(const Crowd &crowd);

private:
    void putObjects();
    bool waitUntilReady();
    void waitUntilQuiet(const std::vector<std::shared_ptr<PatternSender>> &members);
    std::uint64_t sentBytes(const std::vector<std::shared_ptr<PatternSender>> &members) const;
    int call(const std::string &path, std::size_t bodyBytes);
    void look(CrowdResult &result);
    void pass(Duration span);

    AsioEventLoop m_loop;
    soak::StoreStandin m_store;
    RawWorker m_worker;
    std::uint16_t m_storePort;
    std::uint16_t m_workerPort;
    soak::GatewayProcessRunner m_gateway;
};

} // namespace hawthornslip::crowds
