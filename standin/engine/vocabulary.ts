/** Words that the stand-in engine builds its tokens from. */
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
