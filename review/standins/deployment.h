#pragma once

#include "drivers/asio/asio_event_loop.h"
#include "review/standins/callers.h"
#include "review/standins/gateway_runner.h"
#include "review/standins/record.h"
#include "review/standins/store.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::review {

/** How a script ends. */
enum class Outcome { Held = 0, Broken = 1, CouldNotRun = 2 };

/** The service that the routes of makeConfig() lead to. */
inline constexpr const char *kService = "dispatch-app";
/** Paths of the two routes: requests that run at most once, and such that may be repeated. */
inline constexpr const char *kOrderPath = "/puxa403/2f";
inline constexpr const char *kReadPath = "/cufi504/2f";
/** A path below the public route of makeConfig(); its requests may be repeated. */
inline constexpr const char *kPublicPath = "/duvo118/2f";

/** @return a config as the operator writes it. @param tenants the list of tenants. */
nlohmann::json makeConfig(std::uint64_t version, const nlohmann::json &tenants);

/** A store, some gateways and callers on loopback, on the real clock. */
class Deployment
{
public:
    /** @param recordPath the file that tells what was seen. */
    explicit Deployment(const std::string &recordPath);
    ~Deployment();

    /**
     * Starts gateways and waits until all are ready.
     *
     * @param storePorts the port at which each of them reaches the store.
     * @return false when they did not become ready.
     */
    bool startGateways(const std::vector<std::uint16_t> &storePorts);

    /** Runs @p task every @p interval until the run ends. */
    void every(Duration interval, std::function<void()> task);

    /** Runs the loop for @p length. */
    void run(Duration length);

    /** @return how the script ends; a gateway that ended by itself broke a rule. */
    Outcome outcome();

    /** @return false when the variable TROUBLE is 0. */
    static bool hasTrouble();

    AsioEventLoop &loop() { return m_loop; }
    Record &record() { return m_record; }
    Store &store() { return m_store; }
    std::uint16_t storePort() const { return m_storePort; }
    Callers &callers() { return m_callers; }
    std::vector<std::unique_ptr<GatewayRunner>> &gateways() { return m_gateways; }

private:
    void probeAll();

    AsioEventLoop m_loop;
    Record m_record;
    Store m_store;
    std::uint16_t m_storePort;
    Callers m_callers;
    std::string m_folder;
    std::vector<std::unique_ptr<GatewayRunner>> m_gateways;
    std::vector<bool> m_isReady;
};

} // namespace hawthornslip::review
