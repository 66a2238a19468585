#include "modules/routing/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace hawthornslip {

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.targets = {{"service", 1}};
    return route;
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(findsLongestPrefix);
    CPPUNIT_TEST(keepsHostsApart);
    CPPUNIT_TEST(findsWorkspaceByEachKey);
    CPPUNIT_TEST(emptyListOfWorkspacesRequiresKeys);
    CPPUNIT_TEST(splitsByWeight);
    CPPUNIT_TEST(findsShortestPauseObjective);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a shorter prefix that matches before a longer one.
    void findsLongestPrefix()
    {
        RoutingConfig config;
        config.routes = {makeRoute("all", "a.example", "/"), makeRoute("x", "a.example", "/x/"),
                         makeRoute("xy", "a.example", "/x/y/")};
        const RouteTable table(config);
        CPPUNIT_ASSERT_EQUAL(std::string("xy"), table.findRoute("a.example", "/x/y/z")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), table.findRoute("a.example", "/x/yy")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), table.findRoute("a.example", "/x/")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), table.findRoute("a.example", "/x")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), table.findRoute("A.Example:80", "/")->name);
    }

    // Guards against a request to one host that matches a route of another host.
    void keepsHostsApart()
    {
        RoutingConfig config;
        config.routes = {makeRoute("a", "a.example", "/x/")};
        const RouteTable table(config);
        CPPUNIT_ASSERT(table.findRoute("b.example", "/x/1") == nullptr);
        CPPUNIT_ASSERT(table.findRoute("a.example", "/y/1") == nullptr);
        CPPUNIT_ASSERT(table.findRoute("a.example", "x") == nullptr);
        CPPUNIT_ASSERT(table.findRoute("", "") == nullptr);
    }

    // Guards against indexing only the first key of a workspace.
    void findsWorkspaceByEachKey()
    {
        RoutingConfig config;
        config.workspaces.emplace(
                {KeyedWorkspace{"first", {"k1", "k2"}, 1}, KeyedWorkspace{"second", {"k3"}, 0}});
        const RouteTable table(config);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), table.findWorkspace("k2")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), table.findWorkspace("k3")->name);
        CPPUNIT_ASSERT(table.findWorkspace("k4") == nullptr);
        CPPUNIT_ASSERT(table.findWorkspace("") == nullptr);
        CPPUNIT_ASSERT(table.requiresApiKeys());
    }

    // Guards against a configuration without any valid key that opens all routes to everybody.
    void emptyListOfWorkspacesRequiresKeys()
    {
        RoutingConfig config;
        CPPUNIT_ASSERT(!RouteTable(config).requiresApiKeys());
        config.workspaces.emplace();
        const RouteTable table(config);
        CPPUNIT_ASSERT(table.requiresApiKeys());
        CPPUNIT_ASSERT(table.findWorkspace("k1") == nullptr);
        CPPUNIT_ASSERT(table.findWorkspace("") == nullptr);
    }

    // Guards against a weighted split that gives a service more than its share.
    void splitsByWeight()
    {
        Route route = makeRoute("r", "a", "/");
        route.targets = {{"big", 90}, {"small", 10}};
        std::map<std::string, int> counts;
        for (std::uint64_t draw = 0; draw < 1000; ++draw)
            ++counts[*chooseTarget(route, draw)];
        CPPUNIT_ASSERT_EQUAL(900, counts["big"]);
        CPPUNIT_ASSERT_EQUAL(100, counts["small"]);
    }

    // Guards against treating latency-sensitive streams as tolerant of long pauses.
    void findsShortestPauseObjective()
    {
        RoutingConfig config;
        config.routes = {makeRoute("a", "a", "/a/"), makeRoute("b", "a", "/b/")};
        config.routes[0].pauseObjective = milliseconds(800);
        config.routes[1].pauseObjective = milliseconds(200);
        const RouteTable table(config);
        CPPUNIT_ASSERT(table.shortestPauseObjective("service") == milliseconds(200));
        CPPUNIT_ASSERT(table.shortestPauseObjective("other") == Duration(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

} // namespace hawthornslip
