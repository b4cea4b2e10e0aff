// Carries the precompiled header that the HTTP modules share.
