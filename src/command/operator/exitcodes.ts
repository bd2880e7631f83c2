/** Exit code for each type of failure; see docs/operators/commands.md. */
const EXIT_CODES: Readonly<Record<string, number>> = {
  'settings-unreadable': 3,
  'settings-syntax': 3,
  'settings-invalid': 3,
  'file-unreadable': 3,
  'document-refused': 3,
  'document-too-large': 3,
  'change-id-reused': 3,
  'region-changed': 3,
  'revision-conflict': 4,
  'outcome-unknown': 5,
  'change-not-made': 6,
  'store-unavailable': 6,
  'store-outcome-unknown': 6,
  'store-rate-limited': 6,
  'store-refused': 6,
  'service-unknown': 7,
  'region-ambiguous': 7,
  'change-not-kept': 7,
  'audit-broken': 8,
  'stored-value-unreadable': 8,
  'not-in-force-everywhere': 9,
};

const OTHER = 1;

/** Returns the exit code for a type of failure; 1 if it has none of its own. */
export function exitCodeOf(type: string): number {
  return EXIT_CODES[type] ?? OTHER;
}
