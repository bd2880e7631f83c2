/** Bound on the record of one crash: its 256 suspects, with 17 companions each, have 393 KB. */
export const maxSuspectsLength = 524_288;
