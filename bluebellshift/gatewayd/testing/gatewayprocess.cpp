#include "bluebellshift/gatewayd/testing/gatewayprocess.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bluebellshift/net/testing/looptools.h"

namespace bluebellshift::gatewayd::testing {
namespace {

constexpr int startTries = 5; // another process may take a free port before the gateway binds it

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// The environment variable allows a comparison with the program of another build.
std::string programPath()
{
    const char *other = std::getenv("BLUEBELLSHIFT_GATEWAY");
    return other == nullptr ? GATEWAY_PROGRAM : other;
}

GatewayPlace withMemory(int megabytes)
{
    GatewayPlace place;
    place.memoryMegabytes = megabytes;
    return place;
}

} // namespace

GatewayProcess::GatewayProcess(boost::asio::io_context &loop, core::Endpoint store,
                               int memoryMegabytes)
    : GatewayProcess(loop, std::move(store), withMemory(memoryMegabytes))
{
}

GatewayProcess::GatewayProcess(boost::asio::io_context &loop, core::Endpoint store,
                               GatewayPlace place)
    : loop_(loop)
    , store_(std::move(store))
    , place_(std::move(place))
{
    char folder[] = "/tmp/bluebellshift-gateway-XXXXXX";
    folder_ = mkdtemp(folder);
}

GatewayProcess::~GatewayProcess()
{
    if (isAlive()) {
        signal(SIGKILL);
        waitpid(process_, nullptr, 0);
    }
    std::error_code ignored; // a folder that stays harms no later test
    std::filesystem::remove_all(folder_, ignored);
}

bool GatewayProcess::start()
{
    for (int i = 0; i < startTries; ++i) {
        if (!launch())
            return false;
        bool hasFailed = false;
        net::testing::runUntil(loop_, [&] {
            hasFailed = !isAlive();
            return hasFailed || isServing();
        });
        if (!hasFailed)
            return isServing();
    }
    return false;
}

bool GatewayProcess::launch()
{
    logBegin_ = log().size();
    for (std::uint16_t &port : ports_)
        port = net::testing::freePort(loop_);
    std::ofstream file(folder_ + "/gateway.toml");
    file << "[vm]\nid = \"" << place_.vm << "\"\nregion = \""
         << place_.regionOf.at(place_.failureDomain) << "\"\nfailure_domain = \""
         << place_.failureDomain << "\"\n[listen]\n";
    const char *names[] = { "callers", "ready", "lookups", "metrics", "peers" };
    for (int i = 0; i < 5; ++i)
        file << names[i] << " = \"127.0.0.1:" << ports_[i] << "\"\n";
    file << "[platform]\nstore = \"127.0.0.1:" << store_.port << "\"\n[limits]\n"
         << "stop_grace_seconds = 6\nlog_lines_per_second = " << place_.logLinesPerSecond
         << "\nmemory_mb = " << place_.memoryMegabytes << "\ndescriptors = " << limitDescriptors
         << '\n';
    for (const auto &[domain, region] : place_.regionOf)
        file << "[[failure_domain]]\nname = \"" << domain << "\"\nregion = \"" << region << "\"\n";
    file.close();
    const std::string settings = folder_ + "/gateway.toml";
    const std::string log = folder_ + "/log";
    const std::string program = programPath();
    process_ = fork();
    if (process_ == 0) {
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1);
        execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
        _exit(127);
    }
    hasEnded_ = process_ < 0;
    return process_ > 0;
}

void GatewayProcess::signal(int number) const
{
    if (process_ > 0)
        kill(process_, number);
}

bool GatewayProcess::isAlive()
{
    if (process_ > 0 && !hasEnded_)
        hasEnded_ = waitpid(process_, nullptr, WNOHANG) == process_;
    return process_ > 0 && !hasEnded_;
}

bool GatewayProcess::isServing() const
{
    return log().find("name=ready-changed ready=yes", logBegin_) != std::string::npos;
}

std::string GatewayProcess::log() const
{
    return readFile(folder_ + "/log");
}

std::size_t GatewayProcess::peakResidentBytes() const
{
    const std::string status = readFile("/proc/" + std::to_string(process_) + "/status");
    const auto at = status.find("VmHWM:");
    constexpr std::size_t nameLength = 6; // "VmHWM:"
    constexpr std::size_t kilobyte = 1024;
    return at == std::string::npos
        ? 0
        : std::strtoull(status.c_str() + at + nameLength, nullptr, 10) * kilobyte;
}

std::size_t GatewayProcess::descriptors() const
{
    std::error_code error;
    std::size_t count = 0;
    const std::string folder = "/proc/" + std::to_string(process_) + "/fd";
    for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end;
         entry.increment(error))
        ++count;
    return count;
}

} // namespace bluebellshift::gatewayd::testing
