# Helper functions, so that each folder's CMakeLists.txt names only its
# library and what it links to. Sources are globbed, also one level of
# subfolders: a class a file.

function(hemlockdeal_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp
         ${CMAKE_CURRENT_SOURCE_DIR}/*/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/generated/*.cc)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    add_library(hemlockdeal_${name} STATIC ${sources})
    target_include_directories(hemlockdeal_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(hemlockdeal_${name} PUBLIC ${ARGN})
endfunction()

function(hemlockdeal_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} PRIVATE ${ARGN})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# One test program per folder below tests/.
function(hemlockdeal_test folder)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cpp)
    add_executable(test_${folder} ${sources})
    target_include_directories(test_${folder} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(test_${folder} PRIVATE ${ARGN} GTest::gmock GTest::gtest GTest::gtest_main rapidcheck)
    set_target_properties(test_${folder} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    add_test(NAME ${folder} COMMAND test_${folder})
    # Fixed seeds: the same cases, and so the same verdict, on every run.
    set_tests_properties(${folder} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=2000")
endfunction()

# Divides the tests of a program among `count` runs, so that each of them stays
# within the time limit on a busy machine, and so that they run side by side.
function(hemlockdeal_test_shards folder count)
    get_test_property(${folder} ENVIRONMENT environment)
    math(EXPR last "${count} - 1")
    foreach(index RANGE ${last})
        set(name ${folder}_${index})
        if(index EQUAL 0)
            set(name ${folder})
        else()
            add_test(NAME ${name} COMMAND test_${folder})
        endif()
        set_tests_properties(${name} PROPERTIES TIMEOUT 300
                             ENVIRONMENT "${environment};GTEST_TOTAL_SHARDS=${count};GTEST_SHARD_INDEX=${index}")
    endforeach()
endfunction()
