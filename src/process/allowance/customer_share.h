/// All state that one VM keeps for one customer's allowance.
#pragma once

#include "allowance_bucket.h"
#include "demand_average.h"
#include "loan_planner.h"
#include "part_history.h"

namespace cardamomstream {

struct customer_share {
    customer_share(const customer_name& customer, const allowance_limits& limits, time_point now)
        : bucket(customer, limits, now)
        , demand(limits.demand_window)
    {
    }

    allowance_bucket bucket;
    part_history history;
    loan_planner planner;
    demand_average demand;
    bucket_share full_bucket; ///< the customer's fleet-wide bucket in the current rules; zero once removed
    bool permitted = false;   ///< whether this VM's region is within the customer's residency
    token_count waiting_tokens = 0; ///< sum of the charges of the requests that last waited for loans
    time_point waiting_expires;     ///< until then, loans borrowed for `waiting_tokens` are not returned
    time_point last_peer_request;   ///< time of the last loan request from a peer
};

} // namespace cardamomstream
