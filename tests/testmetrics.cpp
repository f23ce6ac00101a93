#include "net/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiastand
{

using testing::HasSubstr;
using testing::Not;

class MetricsText : public testing::Test
{
protected:
    Blackboard m_board;
    Metrics m_metrics;
};

TEST_F(MetricsText, countersOfOneNameShareOneTypeLine)
{
    count(m_board.counters, "refusals", "queueFull", 3);
    count(m_board.counters, "refusals", "bad\"one", 1);
    const auto text = m_metrics.text(m_board, {});
    EXPECT_THAT(text,
                HasSubstr("# TYPE sequoiastand_refusals_total counter\nsequoiastand_refusals_total{reason=\"bad\\\"one\"} 1\n"
                          "sequoiastand_refusals_total{reason=\"queueFull\"} 3\n"));
}

TEST_F(MetricsText, bucketsAreCumulativeAndCoverEverySample)
{
    for (const double value : {0.0, 5.0, 50.0, 1e12}) {
        addSample(m_board.counters, "urgentStartMs", value);
    }
    m_metrics.collectSamples(m_board.counters);
    const auto text = m_metrics.text(m_board, {});

    EXPECT_TRUE(m_board.counters.samples.empty());
    EXPECT_THAT(text, HasSubstr("sequoiastand_urgent_start_ms_bucket{le=\"0.01778\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("sequoiastand_urgent_start_ms_bucket{le=\"10\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("sequoiastand_urgent_start_ms_bucket{le=\"1e+08\"} 3\n"));
    EXPECT_THAT(text, HasSubstr("sequoiastand_urgent_start_ms_bucket{le=\"+Inf\"} 4\n"));
    EXPECT_THAT(text, HasSubstr("sequoiastand_urgent_start_ms_count 4\n"));
}

TEST_F(MetricsText, jobsAreCountedByState)
{
    Job job;
    for (const std::string request : {"a", "b"}) {
        job.specification.id = {{"kask"}, {request}};
        m_board.jobs.put(job.specification.id, job);
    }
    const auto text = m_metrics.text(m_board, {{"httpConnections", 12}});
    EXPECT_THAT(text, HasSubstr("sequoiastand_jobs{state=\"waiting\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("sequoiastand_http_connections 12\n"));
    EXPECT_THAT(text, Not(HasSubstr("state=\"running\"")));
}

}
