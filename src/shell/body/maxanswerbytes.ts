/** Bound on answers that are read whole: lists, records and reports of hundreds of models are far smaller. */
export const maxAnswerBytes = 16_777_216;
