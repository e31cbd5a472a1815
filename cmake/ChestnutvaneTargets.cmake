# Functions that declare one small target a module. A library NAME is built from the sources given
# and may use only the headers of the targets listed in DEPS.

function(chestnutvane_library)
    cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS" ${ARGN})
    if(ARG_SRCS)
        add_library(${ARG_NAME} STATIC ${ARG_SRCS})
        target_include_directories(${ARG_NAME} PUBLIC ${PROJECT_SOURCE_DIR})
        target_link_libraries(${ARG_NAME} PUBLIC ${ARG_DEPS} PRIVATE chestnutvane_warnings)
    else()
        add_library(${ARG_NAME} INTERFACE)
        target_include_directories(${ARG_NAME} INTERFACE ${PROJECT_SOURCE_DIR})
        target_link_libraries(${ARG_NAME} INTERFACE ${ARG_DEPS})
    endif()
endfunction()

# Declares a GoogleTest program and registers it with CTest. RapidCheck reads its seed from
# RC_PARAMS, which is fixed so that each run gives the same verdict.
# With CHESTNUTVANE_TESTS off it is left out.
function(chestnutvane_test)
    cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS;LABELS;DEFINITIONS" ${ARGN})
    if(NOT CHESTNUTVANE_TESTS)
        return()
    endif()
    add_executable(${ARG_NAME} ${ARG_SRCS})
    target_link_libraries(${ARG_NAME} PRIVATE ${ARG_DEPS} chestnutvane_warnings
                          rapidcheck GTest::gtest GTest::gtest_main)
    target_compile_definitions(${ARG_NAME} PRIVATE ${ARG_DEFINITIONS})
    gtest_discover_tests(${ARG_NAME} TEST_PREFIX "${ARG_NAME}." DISCOVERY_TIMEOUT 120
        PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=${CHESTNUTVANE_RC_SEED} max_success=${CHESTNUTVANE_RC_CASES}"
        LABELS "${ARG_LABELS}")
endfunction()

# Declares a program. One that uses Google Benchmark is left out with CHESTNUTVANE_TESTS off.
function(chestnutvane_program)
    cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS" ${ARGN})
    if(NOT CHESTNUTVANE_TESTS AND "benchmark::benchmark" IN_LIST ARG_DEPS)
        return()
    endif()
    add_executable(${ARG_NAME} ${ARG_SRCS})
    target_link_libraries(${ARG_NAME} PRIVATE ${ARG_DEPS} chestnutvane_warnings)
endfunction()

# Registers a benchmark program with CTest for the checks it makes with SkipWithError(), such as
# that of allocations. Google Benchmark ends with status 0 after an error, so its output
# decides.
function(chestnutvane_benchmark_test NAME)
    if(NOT CHESTNUTVANE_TESTS)
        return()
    endif()
    add_test(NAME ${NAME}.checks
             COMMAND ${NAME} --benchmark_min_time=0.05 --benchmark_format=console)
    set_tests_properties(${NAME}.checks PROPERTIES
                         FAIL_REGULAR_EXPRESSION "ERROR OCCURRED|Failed to match")
endfunction()
