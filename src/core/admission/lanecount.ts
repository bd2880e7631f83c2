/** Lanes of one upstream: urgent, normal and background, each with a second one for its long jobs. */
export const LANE_COUNT = 6;
