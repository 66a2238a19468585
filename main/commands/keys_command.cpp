#include "main/commands/command.h"
#include "servers/security/key_hasher.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <zmq.h>

#include <array>
#include <memory>

namespace hawthornslip {

namespace {

// 40 characters of Z85 and the terminating zero.
constexpr std::size_t kCurveKeyBufferBytes = 41;

nlohmann::json newCurveKeys()
{
    std::array<char, kCurveKeyBufferBytes> publicKey{};
    std::array<char, kCurveKeyBufferBytes> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
        throw std::runtime_error("the ZeroMQ library was built without CURVE");
    return {{"curve_public_key", publicKey.data()}, {"curve_secret_key", secretKey.data()}};
}

nlohmann::json newBearerKey()
{
    const std::string key = KeyHasher::newKey();
    return {{"key", key}, {"key_hash", KeyHasher::hash(key)}};
}

void printKeys(const nlohmann::json &keys, bool json)
{
    if (json) {
        fmt::print("{}\n", keys.dump());
        return;
    }
    for (const auto &[name, value] : keys.items())
        fmt::print("{} = \"{}\"\n", name, value.get<std::string>());
}

} // namespace

void addKeysCommand(CLI::App &app, CommandContext &context)
{
    auto *keys = app.add_subcommand("keys", "Make keys for nodes, workspaces and operators");
    keys->require_subcommand(1);
    auto *create = keys->add_subcommand("new", "Print a new key and what the settings store of it");
    const auto kind = std::make_shared<std::string>();
    create->add_option("kind", *kind, "peer, workspace or operator")
            ->required()
            ->check(CLI::IsMember({"peer", "workspace", "operator"}));
    addExamples(*create, "hawthornslip keys new peer\n  hawthornslip keys new workspace --json");
    setCallback(*create, context, [kind, &context] {
        if (sodium_init() < 0)
            throw std::runtime_error("libsodium could not be initialized");
        printKeys(*kind == "peer" ? newCurveKeys() : newBearerKey(), context.json);
        return ExitCode::Success;
    });
}

} // namespace hawthornslip
