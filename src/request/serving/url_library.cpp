// Boost.URL, compiled from source here because Debian's package of it is not among the declared dependencies.
#include <boost/url/src.hpp>
