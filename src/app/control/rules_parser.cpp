#include "rules_parser.h"

#include "cardamomstream/version/rules_reader.h"

namespace cardamomstream {

result<rules> rules_parser::operator()(const version_document& document) const
{
    BOOST_OUTCOME_TRY(auto published, read_rules(document.text));
    published.version = document.number;
    return published;
}

} // namespace cardamomstream
