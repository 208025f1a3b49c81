package yardusher;

/** The sums of all that is known of a customer, to be told. */
record CustomerSums(Customer customer) { }
