/** Thresholds of the membership chart, in ms where not said otherwise. */
export const memberLimits = {
  /** Failed calls in a row after which a member is doubted. */
  failuresToDoubt: 3,
  /** Signs of life after which a doubted member is taken back. */
  signsToConfirm: 2,
  /** Shortest time in doubt; doubles with each doubt in a quiet period's reach. */
  doubtMs: 1_000,
  longestDoubtMs: 30_000,
  /** A time without doubt after which one earlier doubt is forgiven. */
  quietMs: 60_000,
  /** Silence of a member that the host list lacks, after which it is doubted. */
  absentMs: 10_000,
  /** Silence of a member that the host list lacks, after which it is gone. */
  lostMs: 60_000,
  /** How far behind the truth the host list may be. */
  listLagMs: 30_000,
};
