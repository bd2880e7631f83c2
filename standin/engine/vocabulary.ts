/** The words that the stand-in engine knows. */
export const VOCABULARY = [
  'parcel',
  'notice',
  'street',
  'ledger',
  'asset',
  'county',
  'door',
  'letter',
] as const;
