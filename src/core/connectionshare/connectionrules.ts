/** How the connections that an upstream accepts are divided over the entries. */
export const connectionRules = {
  /** Part of them that is divided evenly; the order lease holder lends the rest to entries that need more. */
  evenPart: 0.5,
  /** Least number of connections of an entry to each upstream, with no holder in reach too. */
  minBase: 3,
  /** How long a loan is valid without being renewed. Entries report several times in it. */
  loanMs: 1500,
  /** The longest time that a report is on its way; entries give up a call earlier. */
  reportMs: 1500,
  /**
   * How long the loan of an entry that does not report any more stays reserved: requests may still run on its
   * connections, and the longest ones take 20 s.
   */
  keepMs: 20_000,
  /** Connections that are asked for, as a multiple of those in use, since demand may rise between two reports. */
  headroom: 1.5,
} as const;
