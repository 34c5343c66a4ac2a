// Signals that reach the gateway's process before it has installed its handlers.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <string>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr int maxPolls = 2000;
constexpr int exitSettings = 3;

// A gateway whose settings are a pipe: it waits for them until the test writes them.
class WaitingGateway
{
public:
    WaitingGateway()
    {
        char folder[] = "/tmp/startuptest-XXXXXX";
        folder_ = mkdtemp(folder);
        path_ = folder_ + "/settings.toml";
        mkfifo(path_.c_str(), S_IRUSR | S_IWUSR);
        process_ = fork();
        if (process_ != 0)
            return;
        execl(GATEWAY_PROGRAM, GATEWAY_PROGRAM, "--settings", path_.c_str(), nullptr);
        _exit(127);
    }
    ~WaitingGateway()
    {
        if (pipe_ >= 0)
            close(pipe_);
        if (process_ > 0) {
            kill(process_, SIGKILL);
            waitpid(process_, nullptr, 0);
        }
        unlink(path_.c_str());
        rmdir(folder_.c_str());
    }
    WaitingGateway(const WaitingGateway &) = delete;
    WaitingGateway &operator=(const WaitingGateway &) = delete;

    // Waits until the process reads its settings.
    bool waitUntilReading()
    {
        for (int i = 0; i < maxPolls && pipe_ < 0; ++i) {
            pipe_ = open(path_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            if (pipe_ < 0)
                std::this_thread::sleep_for(pollInterval);
        }
        return pipe_ >= 0;
    }
    void send(int signal) const { kill(process_, signal); }
    // Provides settings without any of the necessary keys, and returns how the process ended.
    int endWithFaultySettings()
    {
        std::signal(SIGPIPE, SIG_IGN);
        const ssize_t written = write(pipe_, "\n", 1);
        close(pipe_);
        pipe_ = -1;
        int status = 0;
        waitpid(process_, &status, 0);
        process_ = -1;
        return written < 0 && !WIFSIGNALED(status) ? -1 : status;
    }

private:
    std::string folder_;
    std::string path_;
    pid_t process_ = -1;
    int pipe_ = -1;
};

} // namespace

TEST_GROUP(Startup) {};

// Guards against a reload request that ends a process which has just been started.
TEST(Startup, ASignalBeforeTheSettingsAreReadDoesNotEndTheProcess)
{
    for (const int signal : { SIGHUP, SIGTERM, SIGINT }) {
        WaitingGateway gateway;
        CHECK(gateway.waitUntilReading());
        gateway.send(signal);
        const int status = gateway.endWithFaultySettings();
        CHECK_TEXT(WIFEXITED(status), strsignal(signal));
        CHECK_EQUAL(exitSettings, WEXITSTATUS(status));
    }
}
