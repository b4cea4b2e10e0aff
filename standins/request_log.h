/// What a stand-in upstream has seen, for tests that look for leaked keys and doubled runs.
#pragma once

#include "http_server.h"

#include <cstdint>
#include <deque>
#include <string>

namespace cardamomstream::standins {

/// Bounded log of requests, runs and cancels.
class request_log {
public:
    /// Notes the arrival of a request; returns its number, counted from 1.
    std::uint64_t note_request(const http_request& request);
    /// Notes that the action of a request has run.
    std::uint64_t note_run(const http_request& request);
    /// Notes that the client left before the answer had ended.
    void note_cancel() { ++m_cancels; }
    /// Forgets everything, the counts included.
    void clear();
    /// {"total", "requests":[...], "runs_total", "runs":[...], "cancels"}
    boost::json::value to_json() const;

private:
    boost::json::array m_requests;
    boost::json::array m_runs;
    std::uint64_t m_total = 0;
    std::uint64_t m_runs_total = 0;
    std::uint64_t m_cancels = 0;
};

} // namespace cardamomstream::standins
