// Boost.URL, compiled here because Debian's package of it is not among the declared ones.
#include <boost/url/src.hpp>
