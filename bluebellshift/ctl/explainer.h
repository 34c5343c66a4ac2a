// Tells the story of one request from the log lines of many VMs: what was decided, in
// order, and for each decision what the VM believed then and how old that was.
//
//   Explainer explainer("9c41d07be2a35f68");
//   for each line of each VM's log, in the order of the log:
//       explainer.read("vm-1", line);
//   for (const std::string &line : explainer.story())
//       ... // empty: no line names the request
//
// Memory: the newest line for each belief of each VM, and the request's own lines.
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

    // `source` names the VM unless the line has a prefix that does: its last word.
    void read(const std::string &source, std::string_view text);
    std::vector<std::string> story() const;
    std::size_t linesRead() const { return linesRead_; }

private:
    using Beliefs = std::map<std::string, shell::LogLine>; // by what they are about

    struct Decision
    {
        std::string vm;
        shell::LogLine line;
        std::vector<shell::LogLine> believed;
    };

    static std::string beliefOf(const shell::LogLine &line);

    const std::string requestId_;
    std::map<std::string, Beliefs> beliefs_; // by VM
    std::vector<Decision> decisions_;
    std::size_t linesRead_ = 0;
};

} // namespace bluebellshift::ctl
