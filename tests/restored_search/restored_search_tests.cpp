// The search of a fleet of 13 daemons for one that a restored store serves.

#include "support/restored_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore::test;

BOOST_AUTO_TEST_SUITE(restored_search)

// Guards against a change that stays unknown because the store serves few daemons after a restore,
// and none of these calls it in time.
BOOST_AUTO_TEST_CASE(a_change_soon_after_a_restore_is_known_in_time_while_one_in_ten_is_served)
{
    check_change_while_one_in_ten_is_served(13);
}

BOOST_AUTO_TEST_SUITE_END()
