#include "cardamomstream/process/metrics.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("metrics are rendered as Prometheus reads them")
{
    metrics value;
    const customer_name carrier{"carrier"};

    SECTION("counters add up for each combination of labels")
    {
        value.requests.increment(carrier, request_end::served);
        value.requests.increment(carrier, request_end::served);
        value.requests.increment(carrier, request_end::refused);
        value.tokens.add(1500, carrier);
        value.refusals.increment(error_kind::allowance_exhausted);
        value.sent_away.increment(region_name{"riga"}, region_name{"kurzeme"});
        value.loans.increment(loan_step::granted);
        value.tickets.increment(ticket_step::handed_over);
        value.platform_reads.increment(platform_service::vm_list);
        value.peer_bytes.add(300, peer_direction::sent);

        const std::string text = value.render();
        CHECK(has_line(text, R"(cardamomstream_requests_total{customer="carrier",end="served"} 2)"));
        CHECK(has_line(text, R"(cardamomstream_requests_total{customer="carrier",end="refused"} 1)"));
        CHECK(has_line(text, R"(cardamomstream_tokens_total{customer="carrier"} 1500)"));
        CHECK(has_line(text, R"(cardamomstream_refusals_total{code="allowance_exhausted"} 1)"));
        CHECK(has_line(text, R"(cardamomstream_requests_sent_away_total{from="riga",to="kurzeme"} 1)"));
        CHECK(has_line(text, R"(cardamomstream_loans_total{step="granted"} 1)"));
        CHECK(has_line(text, R"(cardamomstream_tickets_total{step="handed_over"} 1)"));
        CHECK(has_line(text, R"(cardamomstream_platform_reads_total{service="vm_list"} 1)"));
        CHECK(has_line(text, R"(cardamomstream_peer_bytes_total{direction="sent"} 300)"));
        CHECK(has_line(text, "# TYPE cardamomstream_requests_total counter"));
    }
    SECTION("gauges go up and down")
    {
        value.requests_in_flight.increment();
        value.requests_in_flight.increment();
        value.requests_in_flight.decrement();
        value.queue_length.set(4, pool_name{"drafting"});
        value.configuration_version.set(12);
        value.configuration_age.set(1500ms);

        const std::string text = value.render();
        CHECK(has_line(text, "cardamomstream_requests_in_flight 1"));
        CHECK(has_line(text, R"(cardamomstream_queue_length{pool="drafting"} 4)"));
        CHECK(has_line(text, "cardamomstream_configuration_version 12"));
        CHECK(has_line(text, "cardamomstream_configuration_age_seconds 1.5"));
    }
    SECTION("durations fall into buckets of seconds")
    {
        value.first_token_latency.observe(500ms, pool_name{"drafting"});
        value.first_token_latency.observe(700ms, pool_name{"drafting"});
        value.first_token_latency.observe(3s, pool_name{"drafting"});
        value.total_latency.observe(30s, pool_name{"drafting"});

        const std::string text = value.render();
        CHECK(has_line(text, R"(cardamomstream_first_token_seconds_bucket{pool="drafting",le="0.6"} 1)"));
        CHECK(has_line(text, R"(cardamomstream_first_token_seconds_bucket{pool="drafting",le="0.72"} 2)"));
        CHECK(has_line(text, R"(cardamomstream_first_token_seconds_bucket{pool="drafting",le="+Inf"} 3)"));
        CHECK(has_line(text, R"(cardamomstream_request_seconds_sum{pool="drafting"} 30)"));
    }
}
