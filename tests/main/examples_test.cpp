#include "drivers/toml/settings_reader.h"
#include "modules/config/config_document.h"
#include "servers/load_generator/load_spec.h"
#include "servers/security/key_hasher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace hawthornslip {

namespace {

const std::string kRoot = HAWTHORNSLIP_SOURCE_DIR;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

/** Guards against example files that the program rejects or that contradict each other. */
class ExamplesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExamplesTest);
    CPPUNIT_TEST(sharedConfigurationsAreValid);
    CPPUNIT_TEST(settingsAreValid);
    CPPUNIT_TEST(loadsUseExistingProfilesAndKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void sharedConfigurationsAreValid()
    {
        for (const std::string name : {"yayasan", "krieslins"}) {
            const auto parsed = parse(name);
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, parsed.workspaces.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{15}, parsed.upstreams.size());
        }
    }

    void settingsAreValid()
    {
        for (const std::string name : {"yayasan", "krieslins"}) {
            for (const std::string number : {"1", "2", "3"}) {
                const auto path = kRoot + "/examples/" + name + "/node" + number + ".toml";
                const auto result = readSettings(path);
                for (const auto &it : result.faults)
                    CPPUNIT_FAIL(formatFault(path, it));
            }
        }
    }

    void loadsUseExistingProfilesAndKeys()
    {
        for (const std::string name : {"yayasan", "krieslins"}) {
            const auto config = parse(name);
            const auto load = readLoadSpec(readFile(kRoot + "/examples/" + name + "/load.json"));
            for (const auto &it : load.classes) {
                const auto *profile = config.findProfile(ProfileName(it.profile));
                CPPUNIT_ASSERT_MESSAGE(it.profile, profile != nullptr);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(it.profile, profile->tier, it.tier);
                CPPUNIT_ASSERT(profile->firstTokenTarget == it.firstTokenTarget);
            }
            for (const auto &it : load.workspaces) {
                const auto *workspace = config.findWorkspace(WorkspaceId(it.id));
                CPPUNIT_ASSERT_MESSAGE(it.id, workspace != nullptr);
                CPPUNIT_ASSERT_EQUAL(workspace->keyHashes.at(0), KeyHasher::hash(it.key));
            }
        }
    }

private:
    static SharedConfig parse(const std::string &name)
    {
        const auto parsed =
                ConfigDocument::parse(readFile(kRoot + "/examples/" + name + "/shared.json"));
        std::string faults;
        for (const auto &it : parsed.faults)
            faults += it.path + ": " + it.message + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name + "\n" + faults, true, parsed.ok());
        return parsed.config;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

} // namespace hawthornslip
