// Boost.URL has no package of its own here; its sources are compiled once into this file.
#include <boost/url/src.hpp>
