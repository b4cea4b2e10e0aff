/// What the attempts of one request show about whether it has run.
#pragma once

#include "cardamomstream/core/error.h"

namespace cardamomstream {

/// "Not run" is a statement about the request, not about its last attempt: once one attempt may have run, no
/// later failure says otherwise.
class run_evidence {
public:
    /// Records that an upstream, or another VM, has begun to answer.
    void record_answer() noexcept { m_may_have_run = true; }

    /// Records how an attempt, or the choice of an upstream, failed. Returns the failure with the outcome of
    /// the request so far.
    error record_failure(error failure)
    {
        m_may_have_run = m_may_have_run || failure.outcome == run_outcome::unknown;
        if (m_may_have_run) {
            failure.outcome = run_outcome::unknown;
        }
        return failure;
    }

private:
    bool m_may_have_run = false;
};

} // namespace cardamomstream
