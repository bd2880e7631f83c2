/** Retry budget of the soak's entries: small and short, so that a short run spends it several times over. */
export const retryTerms = { ratio: 0.2, slack: 24, windowMs: 4000 } as const;
