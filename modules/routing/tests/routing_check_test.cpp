#include "modules/routing/routing_check.h"
#include "modules/routing/routing_diff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace hawthornslip {

namespace {

Service plainService(const std::string &name)
{
    Service service;
    service.name = name;
    service.maxConnections = 100;
    return service;
}

RoutingConfig soundConfig()
{
    RoutingConfig config;
    Service engines;
    engines.name = "engines";
    engines.maxConnections = 100;
    engines.engine = EngineLimits{16, 400'000, 9};
    config.services = {engines, plainService("desk")};
    Route chat;
    chat.host = "a.example";
    chat.pathPrefix = "/chat/";
    chat.kind = RouteKind::Streaming;
    chat.targets = {{"engines", 1}};
    chat.pauseObjective = milliseconds(200);
    Route order;
    order.host = "a.example";
    order.pathPrefix = "/order/";
    order.targets = {{"desk", 1}};
    config.routes = {chat, order};
    config.workspaces = {{{"one", {"key-1"}, 0}, {"two", {"key-2"}, 0}}};
    return config;
}

struct Mistake
{
    std::string path;
    RoutingFlaw flaw;
    std::function<void(RoutingConfig &)> make;
};

const std::vector<Mistake> kMistakes = {
        {"routes[0]", RoutingFlaw::NeverMatches,
         [](RoutingConfig &it) {
             it.routes.push_back(it.routes[0]);
             it.routes.back().host = "A.EXAMPLE:80";
         }},
        {"routes[1].pathPrefix", RoutingFlaw::NeverMatches,
         [](RoutingConfig &it) { it.routes[1].pathPrefix = "/order"; }},
        {"routes[1].host", RoutingFlaw::NeverMatches,
         [](RoutingConfig &it) { it.routes[1].host = ""; }},
        {"routes[1].targets[0]", RoutingFlaw::Undefined,
         [](RoutingConfig &it) { it.routes[1].targets[0].service = "gone"; }},
        {"routes[1].targets", RoutingFlaw::Unusable,
         [](RoutingConfig &it) { it.routes[1].targets[0].weight = 0; }},
        {"routes[0].timeout", RoutingFlaw::Contradiction,
         [](RoutingConfig &it) { it.routes[0].timeout = it.routes[0].objective / 2; }},
        {"routes[0].pauseObjective", RoutingFlaw::Contradiction,
         [](RoutingConfig &it) { it.routes[0].pauseObjective = it.routes[0].timeout * 2; }},
        {"routes[1].maxAttempts", RoutingFlaw::Contradiction,
         [](RoutingConfig &it) { it.routes[1].maxAttempts = 2; }},
        {"routes[1].resumable", RoutingFlaw::Contradiction,
         [](RoutingConfig &it) { it.routes[1].resumable = true; }},
        {"routes[1].priority", RoutingFlaw::InvertedPriority,
         [](RoutingConfig &it) {
             it.routes[1].targets = {{"engines", 1}};
             it.routes[1].priority = 1;
             it.routes[1].objective = it.routes[0].objective / 2;
         }},
        {"services[1].name", RoutingFlaw::Duplicate,
         [](RoutingConfig &it) { it.services[1].name = "engines"; }},
        {"services[2]", RoutingFlaw::Unused,
         [](RoutingConfig &it) { it.services.push_back(plainService("spare")); }},
        {"services[0].engine.slots", RoutingFlaw::Unusable,
         [](RoutingConfig &it) { it.services[0].engine->slots = 0; }},
        {"services[0].scaling", RoutingFlaw::Contradiction,
         [](RoutingConfig &it) {
             it.services[0].scaling.emplace();
             it.services[0].scaling->minUpstreams = 3;
             it.services[0].scaling->maxUpstreams = 2;
         }},
        {"workspaces[1].apiKeys[0]", RoutingFlaw::Duplicate,
         [](RoutingConfig &it) { (*it.workspaces)[1].apiKeys = {"key-1"}; }},
        {"workspaces[1].name", RoutingFlaw::Duplicate,
         [](RoutingConfig &it) { (*it.workspaces)[1].name = "one"; }},
        {"workspaces", RoutingFlaw::Unusable, [](RoutingConfig &it) { it.workspaces->clear(); }},
        {"limits.idleTimeout", RoutingFlaw::Contradiction,
         [](RoutingConfig &it) { it.limits.idleTimeout = it.limits.headerTimeout / 2; }},
        {"limits.headerTimeout", RoutingFlaw::Unusable,
         [](RoutingConfig &it) { it.limits.headerTimeout = Duration(0); }},
};

} // namespace

/** The check of a configuration before it is sent. */
class RoutingCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingCheckTest);
    CPPUNIT_TEST(soundConfigurationHasNoFinding);
    CPPUNIT_TEST(eachMistakeIsFound);
    CPPUNIT_TEST(orderOfEntriesIsNoDifference);
    CPPUNIT_TEST(differencesNameEntryAndField);
    CPPUNIT_TEST(keysAreNotShown);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a check that operators learn to ignore.
    void soundConfigurationHasNoFinding()
    {
        for (const auto &it : checkRouting(soundConfig()))
            CPPUNIT_FAIL(it.path + " " + it.message);
    }

    // Guards against a mistake that is sent and shows only in service.
    void eachMistakeIsFound()
    {
        for (const auto &mistake : kMistakes) {
            auto config = soundConfig();
            mistake.make(config);
            const auto findings = checkRouting(config);
            CPPUNIT_ASSERT_MESSAGE(mistake.path, std::any_of(findings.begin(), findings.end(),
                                                             [&mistake](const auto &it) {
                                                                 return it.path == mistake.path &&
                                                                        it.flaw == mistake.flaw;
                                                             }));
        }
    }

    // Guards against a list of differences in which the one that matters is lost.
    void orderOfEntriesIsNoDifference()
    {
        auto config = soundConfig();
        std::reverse(config.routes.begin(), config.routes.end());
        std::reverse(config.services.begin(), config.services.end());
        std::reverse(config.workspaces->begin(), config.workspaces->end());
        CPPUNIT_ASSERT(diffRouting(soundConfig(), config).empty());
    }

    void differencesNameEntryAndField()
    {
        auto config = soundConfig();
        config.routes[0].objective = milliseconds(250);
        config.routes.pop_back();
        config.services.push_back(plainService("spare"));
        const std::vector<std::string> expected = {
                "route a.example/chat/: objective 1000 ms -> 250 ms",
                "route a.example/order/: removed", "service spare: added"};
        CPPUNIT_ASSERT(expected == diffRouting(soundConfig(), config));
    }

    // Guards against keys in the logs of whoever checks a configuration.
    void keysAreNotShown()
    {
        auto config = soundConfig();
        (*config.workspaces)[0].apiKeys = {"key-3", "key-4"};
        const auto lines = diffRouting(soundConfig(), config);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("workspace one: 2 keys added, 1 removed"), lines.front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingCheckTest);

} // namespace hawthornslip
