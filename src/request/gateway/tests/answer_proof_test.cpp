#include "cardamomstream/request/gateway/answer_proof.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

const request_id own("a");
const request_id other("b");
const request_id none;

/// An answer of an upstream, or a VM's own one without its mark, on a kept connection.
answer_facts answer(unsigned status, const request_id& id, bool marked = true)
{
    answer_facts facts;
    facts.status = status;
    facts.origin = {marked, false, id};
    facts.request = own;
    return facts;
}

answer_facts rejection(unsigned status, const request_id& id)
{
    auto facts = answer(status, id, false);
    facts.origin.not_run = true;
    return facts;
}

answer_facts vm_refusal(unsigned status, const request_id& id)
{
    auto facts = answer(status, id, false);
    facts.by_vm = true;
    return facts;
}

answer_proof assess_first(answer_facts facts)
{
    facts.first_on_connection = true;
    return assess_answer(facts);
}

} // namespace

TEST_CASE("an answer proves something about the request of which it has the id")
{
    CHECK(assess_answer(answer(200, own)) == answer_proof::answered);
    CHECK(assess_answer(answer(500, own)) == answer_proof::answered);
    CHECK(assess_answer(rejection(503, own)) == answer_proof::not_run);
    CHECK(assess_answer(rejection(400, own)) == answer_proof::not_run);
    CHECK(assess_answer(vm_refusal(503, own)) == answer_proof::not_run);
    CHECK(assess_answer(vm_refusal(502, own)) == answer_proof::not_from_upstream);
    CHECK(assess_answer(answer(200, own, false)) == answer_proof::not_from_upstream);

    SECTION("and nothing about others, on any connection")
    {
        for (const auto& facts : {answer(200, other), rejection(503, other), vm_refusal(503, other)}) {
            CHECK(assess_answer(facts) == answer_proof::foreign);
            CHECK(assess_first(facts) == answer_proof::foreign);
        }
    }
}

TEST_CASE("the log names what shows that a request was refused")
{
    CHECK(refusal_evidence(rejection(503, own)) == "statement");
    CHECK(refusal_evidence(rejection(503, none)) == "statement_without_id");
    CHECK(refusal_evidence(vm_refusal(503, own)) == "vm_refusal");
    CHECK(refusal_evidence(vm_refusal(429, none)) == "vm_before_reading");
}

TEST_CASE("an answer without an id proves something only as the first of its connection")
{
    for (const auto& facts : {answer(200, none), rejection(503, none), vm_refusal(503, none)}) {
        CHECK(assess_answer(facts) == answer_proof::foreign);
    }
    CHECK(assess_first(vm_refusal(429, none)) == answer_proof::not_run);

    SECTION("and nothing when it is an upstream's, which may have written it before it read the request")
    {
        CHECK(assess_first(answer(200, none)) == answer_proof::foreign);
        CHECK(assess_first(rejection(503, none)) == answer_proof::foreign);
        CHECK(assess_first(rejection(421, none)) == answer_proof::foreign);
        auto relayed = answer(200, none);
        relayed.by_vm = true;
        CHECK(assess_first(relayed) == answer_proof::foreign);
    }

    SECTION("also when the request has none")
    {
        auto facts = rejection(400, none);
        facts.request = none;
        CHECK(assess_answer(facts) == answer_proof::foreign);
        CHECK(assess_first(facts) == answer_proof::not_run);
    }
}

TEST_CASE("a status that callers read as not run needs the upstream's statement")
{
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        CHECK(assess_answer(answer(status, own)) == answer_proof::false_promise);
        auto passed_on = answer(status, own);
        passed_on.by_vm = true;
        CHECK(assess_answer(passed_on) == answer_proof::false_promise);
        auto repeatable = answer(status, own);
        repeatable.repeatable = true;
        CHECK(assess_answer(repeatable) == answer_proof::answered);
    }
}
