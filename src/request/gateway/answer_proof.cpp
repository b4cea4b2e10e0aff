#include "cardamomstream/request/gateway/answer_proof.h"

#include "cardamomstream/request/gateway/hop_headers.h"

namespace cardamomstream {

std::string_view to_text(answer_proof proof) noexcept
{
    switch (proof) {
    case answer_proof::answered:
        return "it is answered";
    case answer_proof::not_run:
        return "it is refused and has not run";
    case answer_proof::foreign:
        return "the answer belongs to another request";
    case answer_proof::not_from_upstream:
        return "the answer does not come from an upstream";
    case answer_proof::false_promise:
        return "the upstream does not state that it has not run the request";
    }
    return "";
}

answer_proof assess_answer(const answer_facts& answer)
{
    const auto& origin = answer.origin;
    if (origin.id != answer.request) {
        const bool vm_before_reading = answer.by_vm && origin.id.empty() && !origin.from_upstream;
        if (!vm_before_reading || !answer.first_on_connection) {
            return answer_proof::foreign;
        }
    }
    else if (origin.id.empty() && !answer.first_on_connection) {
        return answer_proof::foreign;
    }
    const bool promises = guarantees_not_run(answer.status);
    if (origin.not_run || (answer.by_vm && !origin.from_upstream && promises)) {
        return answer_proof::not_run;
    }
    if (!origin.from_upstream) {
        return answer_proof::not_from_upstream;
    }
    return promises && !answer.repeatable ? answer_proof::false_promise : answer_proof::answered;
}

std::string_view refusal_evidence(const answer_facts& answer)
{
    if (answer.origin.not_run) {
        return answer.origin.id.empty() ? "statement_without_id" : "statement";
    }
    return answer.origin.id.empty() ? "vm_before_reading" : "vm_refusal";
}

} // namespace cardamomstream
