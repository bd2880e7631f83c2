/** Thresholds of the membership chart. */
export const memberLimits = {
  /** Consecutive failed calls after which a member becomes suspect. */
  failuresToSuspect: 3,
  /** Contacts after which a suspect member may become ready again. */
  contactsToConfirm: 2,
  /** Minimum time in `suspect`; doubles with each suspicion that has not yet been forgiven. */
  suspectMs: 1_000,
  maxSuspectMs: 30_000,
  /** Time without a suspicion after which one earlier suspicion is forgiven. */
  quietMs: 60_000,
  /** Time without contact after which a member missing from the host list becomes suspect. */
  absentMs: 10_000,
  /** Time without contact after which a member missing from the host list is gone. */
  lostMs: 60_000,
  /** Maximum lag of the host list. */
  listLagMs: 30_000,
};
