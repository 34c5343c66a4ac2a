#include "bluebellshift/shell/metrics.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::core;
using namespace bluebellshift::shell;

TEST_GROUP(Metrics) {};

TEST(Metrics, EffectsAndReadingsAreCounted)
{
    Metrics metrics;
    metrics.countEffect(AnswerCaller {});
    metrics.countEffect(RefuseCaller { {}, { RefusalCode::OverRate, Run::NotRun, "", 0 } });
    metrics.countEffect(RefuseCaller { {}, { RefusalCode::HomeUnreachable, Run::Unknown, "", 0 } });
    metrics.countEffect(WriteObject {});
    metrics.countEffect(WriteLog { { log::peerAlive, {} } });
    metrics.countEffect(Exit {});
    metrics.observeRequest(Duration::millis(7));
    MetricsReadings readings;
    readings.peers.bytesSent = 100;
    readings.peers.connected = 11;
    readings.isReady = true;
    metrics.text(readings);
    readings.peers.bytesSent = 150;
    const std::string text = metrics.text(readings);
    const char *lines[] = {
        "bluebellshift_requests_answered_total 1\n",
        R"(bluebellshift_requests_refused_total{code="over-rate",run="not-run"} 1)",
        R"(bluebellshift_requests_refused_total{code="home-unreachable",run="unknown"} 1)",
        R"(bluebellshift_platform_calls_total{call="write"} 1)",
        R"(bluebellshift_log_events_total{event="301",name="peer-alive"} 1)",
        R"(bluebellshift_request_seconds_bucket{le="0.01"} 1)",
        R"(bluebellshift_request_seconds_bucket{le="0.005"} 0)",
        R"(bluebellshift_peer_bytes_total{direction="sent"} 150)",
        "bluebellshift_peers_connected 11\n",
        "bluebellshift_ready 1\n",
    };
    for (const char *line : lines)
        STRCMP_CONTAINS(line, text.c_str());
}
