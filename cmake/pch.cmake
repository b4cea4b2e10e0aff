# Precompiled headers of the modules that speak HTTP; Beast dominates their build time.
add_library(cardamomstream_http_pch OBJECT ${PROJECT_SOURCE_DIR}/cmake/http_pch.cpp)
target_link_libraries(cardamomstream_http_pch PUBLIC cardamomstream_options Boost::headers Boost::fiber Boost::json)
target_precompile_headers(cardamomstream_http_pch PRIVATE
    <boost/asio.hpp> <boost/beast/core.hpp> <boost/beast/http.hpp> <boost/fiber/all.hpp> <boost/json.hpp>
    <chrono> <functional> <memory> <optional> <string> <vector>)

function(cardamomstream_use_http_pch name)
    target_precompile_headers(cardamomstream_${name} REUSE_FROM cardamomstream_http_pch)
endfunction()
