if(CARDAMOMSTREAM_TESTS)
    include(Catch)
endif()

add_library(cardamomstream_options INTERFACE)
target_compile_options(cardamomstream_options INTERFACE -pthread -Wall -Wextra -Wshadow -Wnon-virtual-dtor -Werror)
# GCC 12 reports -Wrestrict for std::string concatenation at -O2 and above, where nothing overlaps (GCC bug 105651).
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    target_compile_options(cardamomstream_options INTERFACE -Wno-restrict)
endif()
target_compile_definitions(cardamomstream_options INTERFACE BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(cardamomstream_options INTERFACE spdlog::spdlog)
target_include_directories(cardamomstream_options INTERFACE ${PROJECT_SOURCE_DIR}/include)
if(CARDAMOMSTREAM_SANITIZE)
    target_compile_options(cardamomstream_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all)
    target_link_options(cardamomstream_options INTERFACE -fsanitize=address,undefined)
endif()

# The entry point that every test program shares.
if(CARDAMOMSTREAM_TESTS)
    add_library(cardamomstream_test_main STATIC ${PROJECT_SOURCE_DIR}/cmake/test_main.cpp)
    target_link_libraries(cardamomstream_test_main PUBLIC Catch2::Catch2 rapidcheck)
endif()

# Adds the tests of the module whose CMakeLists.txt calls it.
macro(cardamomstream_add_tests)
    if(CARDAMOMSTREAM_TESTS AND EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/tests/CMakeLists.txt)
        add_subdirectory(tests)
    endif()
endmacro()

# Adds the library of one module.
#   cardamomstream_module(NAME SOURCES file... LINK target...)
function(cardamomstream_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(cardamomstream_${name} STATIC ${ARG_SOURCES})
    target_include_directories(cardamomstream_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(cardamomstream_${name} PUBLIC cardamomstream_options Boost::headers ${ARG_LINK})
endfunction()

# Adds the test program of one module; each TEST_CASE becomes a ctest test named <module>.<case>.
#   cardamomstream_module_tests(NAME SOURCES file... LINK target...)
function(cardamomstream_module_tests name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(cardamomstream_${name}_tests ${ARG_SOURCES})
    target_include_directories(cardamomstream_${name}_tests PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/..)
    target_link_libraries(cardamomstream_${name}_tests PRIVATE cardamomstream_${name} cardamomstream_test_main ${ARG_LINK})
    catch_discover_tests(cardamomstream_${name}_tests TEST_PREFIX "${name}.")
endfunction()
