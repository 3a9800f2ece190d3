#include "core/metrics.h"
#include "suite.h"

static void
quantiles_are_at_most_a_quarter_too_high(void)
{
    static const struct {
        uint64_t value;
        double quantile;
    } cases[] = {{1, 0.5}, {3, 0.5}, {10, 0.9}, {999, 0.5}, {123456, 0.99}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Histogram h = {0};
        for (int k = 0; k < 100; k++) {
            histogram_observe(&h, cases[i].value);
        }
        uint64_t actual = histogram_quantile(&h, cases[i].quantile);
        CU_ASSERT(actual >= cases[i].value);
        CU_ASSERT(actual <= cases[i].value + cases[i].value / 4);
    }
}

static void
an_empty_histogram_has_quantile_zero(void)
{
    Histogram h = {0};
    CU_ASSERT_EQUAL(histogram_quantile(&h, 0.99), 0);
}

void
add_metrics_suite(void)
{
    CU_pSuite s = CU_add_suite("metrics", NULL, NULL);
    CU_add_test(s, "quantiles are at most a quarter too high",
                quantiles_are_at_most_a_quarter_too_high);
    CU_add_test(s, "an empty histogram has quantile zero",
                an_empty_histogram_has_quantile_zero);
}
