#include "text_file.h"

#include <fstream>
#include <sstream>

namespace cardamomstream {

result<std::string> read_text_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return error{error_kind::invalid_argument,
                     "cannot read the file \"" + path + "\"",
                     "give the path of a file that this user may read",
                     run_outcome::not_run,
                     {}};
    }
    return text.str();
}

} // namespace cardamomstream
