// Reconstructs the history of one request from the log lines of several VMs: the
// decisions in order of time, each with the state that the VM knew at that time and
// the age of that state.
//
//   Explainer explainer("9c41d07be2a35f68");
//   for each line of each VM's log, in the order of the log:
//       explainer.read("vm-1", line);
//   for (const std::string &line : explainer.timeline())
//       ... // empty if no line names the request
//
// Keeps in memory the newest line of each state of each VM, and the lines that name
// the request.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellshift/shell/logline.h"

namespace bluebellshift::ctl {

class Explainer
{
public:
    explicit Explainer(std::string requestId)
        : requestId_(std::move(requestId))
    {
    }

    // Reads one line. The last word of the line's prefix names the VM; `source` names it
    // if the line has no prefix.
    void read(const std::string &source, std::string_view text);
    std::vector<std::string> timeline() const;
    std::size_t linesRead() const { return linesRead_; }

private:
    using VmState = std::map<std::string, shell::LogLine>; // by state key

    struct Decision
    {
        std::string vm;
        shell::LogLine line;
        std::vector<shell::LogLine> relevantState;
    };

    static std::string stateKeyOf(const shell::LogLine &line);

    const std::string requestId_;
    std::map<std::string, VmState> stateByVm_; // by VM
    std::vector<Decision> decisions_;
    std::size_t linesRead_ = 0;
};

} // namespace bluebellshift::ctl
