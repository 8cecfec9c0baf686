# azureshore_package(NAME [LINK target...]) makes the static library of one package from every
# source file below its folder; a package of headers alone becomes an interface library.
function(azureshore_package name)
    cmake_parse_arguments(package "" "" "LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp)
    set(links ${package_LINK} absl::status absl::statusor)
    if(sources)
        add_library(azureshore_${name} STATIC ${sources})
        target_include_directories(azureshore_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
        target_link_libraries(azureshore_${name} PUBLIC ${links} PRIVATE azureshore_warnings)
    else()
        add_library(azureshore_${name} INTERFACE)
        target_include_directories(azureshore_${name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
        target_link_libraries(azureshore_${name} INTERFACE ${links})
    endif()
    add_library(azureshore::${name} ALIAS azureshore_${name})
endfunction()

# azureshore_program(NAME [LINK target...]) makes a program from the source files of its folder.
function(azureshore_program name)
    cmake_parse_arguments(program "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${program_LINK} azureshore_warnings)
endfunction()

# azureshore_test(NAME [LINK target...]) makes one test program from the folder NAME, which is one
# test of CTest.
function(azureshore_test name)
    cmake_parse_arguments(test "" "" "LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${name}/*.cpp)
    add_executable(test_${name} ${sources} $<TARGET_OBJECTS:azureshore_test_main>)
    target_compile_definitions(test_${name} PRIVATE
        BOOST_TEST_DYN_LINK
        AZURESHORE_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
        AZURESHORE_BINARY_DIR="${PROJECT_BINARY_DIR}")
    target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(test_${name}
        PRIVATE ${test_LINK} Boost::unit_test_framework rapidcheck azureshore_warnings)
    add_test(NAME ${name} COMMAND test_${name} --log_level=test_suite --report_level=short)
endfunction()
