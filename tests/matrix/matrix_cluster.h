#pragma once

#include "tests/matrix/matrix_caller.h"
#include "tests/matrix/matrix_node.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hawthornslip::matrix {

/**
 * Three nodes, three engines and an application service in virtual time, with the checks of the
 * invariants. A seed gives the same run each time.
 */
class MatrixCluster
{
public:
    static constexpr int kNodes = 3;
    static constexpr int kEngines = 3;

    explicit MatrixCluster(std::uint64_t seed);
    ~MatrixCluster();

    MatrixCluster(const MatrixCluster &) = delete;
    MatrixCluster &operator=(const MatrixCluster &) = delete;

    MatrixWorld &world() { return m_world; }
    MatrixNode &node(int n) { return *m_nodes[static_cast<std::size_t>(n)]; }
    std::mt19937_64 &random() { return m_random; }

    /** Runs for @p span, checking the invariants after each step. */
    void run(Duration span);

    /** Runs until @p done or for at most @p span. @return whether @p done became true. */
    bool runUntil(const std::function<bool()> &done, Duration span);

    /** Sends a request to node @p n. */
    MatrixCaller &call(int n, CallerAsk ask);

    /** @return the requests so far. */
    const std::vector<std::unique_ptr<MatrixCaller>> &callers() const { return m_callers; }

    /** @return the number of requests that have not ended. */
    int pending() const;

    /** Ends the process of node @p n without a word. */
    void crashNode(int n);
    /** Starts node @p n again under the same address. */
    void restartNode(int n);
    void pauseNode(int n);
    void resumeNode(int n);
    /** Begins a planned stop of node @p n; it ends when its requests have ended. */
    void stopNode(int n);
    /** Loses the messages from node @p n to the others, not those to it. */
    void cutNode(int n);
    void healNetwork();
    /** Makes the platform's list name all VMs again. */
    void listAll();

    static std::string engineUrl(int n) { return "http://engine" + std::to_string(n); }
    static constexpr const char *kApplicationUrl = "http://orders";
    static constexpr const char *kDomain = "d";

    /** Marks engine @p n as leaving, through an operator's change of the configuration. */
    void drainEngine(int n);

    /**
     * Applies the next configuration at node @p n, as an operator does.
     *
     * @param change is applied to what is in force at that node.
     */
    void applyConfig(int n, const std::function<void(SharedConfig &)> &change,
                     std::function<void(const ApplyResultInfo &)> done);

    /** @return the highest generation that an operator was told to be accepted. */
    std::uint64_t acceptedGeneration() const { return m_accepted; }

    /** Tells the checks that times are not kept for @p span from now, because of a fault. */
    void excuse(Duration span);

    /** @return true when all running nodes are ready and see each other. */
    bool settled() const;

    /** Called when a node writes to the store. */
    std::function<void(int node, const std::string &key, const std::string &value)> onPut;

    /** @return the node that holds the placement lease now, or -1. */
    int leaseHolder() const;

    /** Called when a request reaches a stage; the event it schedules runs before it goes on. */
    std::function<void(Stage, int node, const RequestId &)> onStage;

    /** @return the first violation, or an empty text. */
    const std::string &violation() const { return m_violation; }

    /** Records a violation of @p invariant unless @p holds. */
    void require(bool holds, const std::string &invariant, const std::string &what);

    /** @return the runs of all upstreams of requests with @p tag. */
    int runsOf(const std::string &tag) const;

private:
    static std::shared_ptr<const SharedConfig> makeConfig();
    void startNode(int n);
    void accepted(std::uint64_t generation, const std::string &author);
    void checkConfig();
    void reached(int n, Stage stage, const RequestId &request);
    bool runDue();
    TimePoint nextEvent(TimePoint end) const;
    void finishStops();
    void endNode(int n);
    void noteRun(const std::string &url, const std::string &request, const std::string &tag);
    void noteOrder(const std::string &url, const test::EngineOrder &order);
    void checkLease();
    void checkCallers();
    void checkCaller(const MatrixCaller &caller);

    MatrixWorld m_world;
    std::mt19937_64 m_random;
    std::uint64_t m_accepted = 0;
    TimePoint m_acceptedAt;
    std::map<std::uint64_t, std::string> m_authors;
    /** Generation that each process had in force last. */
    std::map<std::uint64_t, std::uint64_t> m_inForce;
    TimePoint m_excusedUntil;
    std::vector<std::unique_ptr<MatrixNode>> m_nodes;
    /** Crashed processes; kept because events may still refer to them. */
    std::vector<std::unique_ptr<MatrixNode>> m_graveyard;
    std::vector<std::unique_ptr<MatrixCaller>> m_callers;
    std::size_t m_firstOpen = 0;
    std::map<std::string, int> m_runsByRequest;
    std::map<std::string, int> m_runsByTag;
    std::map<std::string, TimePoint> m_drainedAt;
    std::map<std::string, std::uint64_t> m_highestFencing;
    /** Tags that may run only once. */
    std::set<std::string> m_once;
    /** Request ids that a caller was told not to have run. */
    std::set<std::string> m_toldNotRun;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastIncarnation = 0;
    int m_lastOperator = 0;
    std::string m_violation;
    /** The request whose thread runs now. */
    MatrixCaller *m_runningCaller = nullptr;
};

} // namespace hawthornslip::matrix
