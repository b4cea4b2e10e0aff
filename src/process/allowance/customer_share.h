/// Everything that one VM knows of one customer's allowance.
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
    bucket_share full_bucket;       ///< of the last version; zero once the customer is gone
    bool permitted = false;         ///< this VM's region is within the customer's residency
    token_count waiting_tokens = 0; ///< charges of the requests that last waited for loans
    time_point waiting_expires;     ///< what was gathered for them is kept until then
    time_point last_peer_request;   ///< when a peer last wanted to borrow
};

} // namespace cardamomstream
