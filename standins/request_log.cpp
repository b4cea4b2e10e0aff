#include "request_log.h"

#include <string_view>

namespace cardamomstream::standins {

namespace {

constexpr std::size_t max_entries = 10'000;
constexpr std::size_t max_logged_body_bytes = 4096;

void append_bounded(boost::json::array& entries, boost::json::value entry)
{
    if (entries.size() < max_entries) {
        entries.push_back(std::move(entry));
    }
}

boost::json::array headers_of(const http_request& request)
{
    boost::json::array headers;
    for (const auto& field : request) {
        headers.push_back(boost::json::array{field.name_string(), field.value()});
    }
    return headers;
}

std::string logged_body(const http_request& request)
{
    return request.body().substr(0, max_logged_body_bytes);
}

} // namespace

std::uint64_t request_log::note_request(const http_request& request)
{
    ++m_total;
    append_bounded(m_requests, {{"number", m_total},
                                {"id", request["X-Request-Id"]},
                                {"method", request.method_string()},
                                {"target", request.target()},
                                {"headers", headers_of(request)},
                                {"body", logged_body(request)}});
    return m_total;
}

std::uint64_t request_log::note_run(const http_request& request)
{
    ++m_runs_total;
    append_bounded(m_runs, {{"number", m_runs_total},
                            {"id", request["X-Request-Id"]},
                            {"ticket", request["X-Ticket"]},
                            {"idempotency_key", request["Idempotency-Key"]},
                            {"run_by_ms", request["X-Run-By-Ms"]},
                            {"target", request.target()},
                            {"headers", headers_of(request)},
                            {"body", logged_body(request)}});
    return m_runs_total;
}

void request_log::clear()
{
    *this = request_log();
}

boost::json::value request_log::to_json() const
{
    return {{"total", m_total},
            {"requests", m_requests},
            {"runs_total", m_runs_total},
            {"runs", m_runs},
            {"cancels", m_cancels}};
}

} // namespace cardamomstream::standins
