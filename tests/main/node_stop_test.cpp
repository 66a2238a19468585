#include "main/node.h"
#include "main/stop_signal.h"
#include "servers/security/key_hasher.h"
#include "tests/support/raw_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zmq.h>

#include <array>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

namespace hawthornslip::test {

namespace {

constexpr const char *kOperatorKey = "operator-test-key";

/** @return settings of a node whose store is at @p storeUrl. */
Settings settingsWithStore(const std::string &storeUrl)
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    Settings settings;
    settings.domain = FailureDomain("riga-1");
    settings.operators.keyHashes = {KeyHasher::hash(kOperatorKey)};
    settings.peer.curvePublicKey = publicKey.data();
    settings.peer.curveSecretKey = secretKey.data();
    settings.peer.allowedKeys = {publicKey.data()};
    settings.platform.objectStoreUrl = storeUrl;
    settings.platform.storeTimeout = milliseconds(500);
    settings.stop.balancerNotice = Duration{0};
    return settings;
}

} // namespace

/** What a stop of the daemon does to requests that it has taken. */
class NodeStopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeStopTest);
    CPPUNIT_TEST(operatorCallInProgressGetsItsAnswer);
    CPPUNIT_TEST(waitForAnotherNodeEndsWithTheStop);
    CPPUNIT_TEST(reloadSignalDoesNotEndTheProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change of the configuration that gets neither an answer nor a refusal.
    void operatorCallInProgressGetsItsAnswer()
    {
        RawServer store([](RawConnection &it, int) { it.readAll(); });
        Node node(settingsWithStore(store.url()));
        CPPUNIT_ASSERT(node.start());
        auto client = sendChange(node, "/admin/config");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        node.stop();
        const auto answer = client.readAll();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 50"));
    }

    // Guards against a stop that takes as long as an operator waits for a node that is gone.
    void waitForAnotherNodeEndsWithTheStop()
    {
        Settings settings = settingsWithStore("");
        settings.peer.listen.port = RawServer::closedPort();
        Node node(settings);
        CPPUNIT_ASSERT(node.start());
        settings.peer.seeds = {node.id()};
        settings.peer.listen.port = RawServer::closedPort();
        auto other = std::make_unique<Node>(settings);
        CPPUNIT_ASSERT(other->start());
        waitForNodes(node, 2);
        other.reset();
        auto client = sendChange(node, "/admin/config?wait_ms=300000");
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        node.stop();
        const auto answer = client.readMessage();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("\"wait_ended\"") != std::string::npos);
    }

    // Guards against requests that are cut by the signal that reloads the gateway's settings.
    void reloadSignalDoesNotEndTheProcess()
    {
        std::array<int, 2> ready{};
        CPPUNIT_ASSERT(pipe(ready.data()) == 0);
        const pid_t child = fork();
        if (child == 0) {
            const StopSignal signal;
            static_cast<void>(write(ready[1], "x", 1));
            signal.wait();
            _exit(0);
        }
        char byte = 0;
        CPPUNIT_ASSERT(read(ready[0], &byte, 1) == 1);
        // The system delivers the lower number first when both are pending.
        kill(child, SIGHUP);
        kill(child, SIGTERM);
        const int status = waitFor(child);
        close(ready[0]);
        close(ready[1]);
        CPPUNIT_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    }

private:
    /** @return the status of @p child as wait() gives it; kills it after ten seconds. */
    static int waitFor(pid_t child)
    {
        int status = 0;
        constexpr int kAttempts = 500;
        for (int i = 0; i < kAttempts; ++i) {
            if (waitpid(child, &status, WNOHANG) == child)
                return status;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        kill(child, SIGKILL);
        waitpid(child, &status, 0);
        return status;
    }

    static RawConnection sendCall(const Node &node, const std::string &line,
                                  const std::string &body)
    {
        auto client = RawConnection::connectTo(node.operatorPort());
        client.send(fmt::format("{} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n"
                                "Content-Length: {}\r\n\r\n{}",
                                line, kOperatorKey, body.size(), body));
        return client;
    }

    static RawConnection sendChange(const Node &node, const std::string &target)
    {
        return sendCall(node, "PUT " + target,
                        R"({"schema_version":1,"generation":1,"author":"test"})");
    }

    /** Waits until @p node knows @p n live nodes. */
    static void waitForNodes(const Node &node, int n)
    {
        const std::string wanted = fmt::format("\"live_nodes\":{}", n);
        constexpr int kAttempts = 500;
        for (int i = 0; i < kAttempts; ++i) {
            if (sendCall(node, "GET /admin/status", "").readMessage().find(wanted) !=
                std::string::npos)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        CPPUNIT_FAIL("the nodes don't know each other");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeStopTest);

} // namespace hawthornslip::test
