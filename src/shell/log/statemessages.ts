/** Messages about the state of the process itself. They are rare, and each one explains many other lines. */
export const stateMessages: ReadonlySet<string> = new Set([
  'listening',
  'state read',
  'configuration in force',
  'configuration not readable',
  'store lost',
  'store regained',
  'changes not shared',
  'order turn taken',
  'order turn changed',
  'order turn lost',
  'order turn released',
  'order turn not written',
  'process stood still',
  'host was suspended',
]);
